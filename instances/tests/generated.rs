//! Tests that the generated code is current.

use std::fs;
use std::path::Path;

#[path = "../examples/generate.rs"]
#[allow(unreachable_pub, reason = "public to be used from here")]
mod generate;

/// Guards against a change of the schema after which the code was not generated again.
#[test]
fn generated_code_is_current() {
    const FILE: &str = "lovagespindle.instances.rs";
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let fresh = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated-instances");
    fs::create_dir_all(&fresh).unwrap();
    generate::generate(package, &fresh).unwrap();
    let expected = fs::read_to_string(fresh.join(FILE)).unwrap();
    let actual = fs::read_to_string(package.join("src/generated").join(FILE)).unwrap();
    assert!(
        expected == actual,
        "the generated code is outdated: run the example generate"
    );
    assert_eq!(fs::read_dir(&fresh).unwrap().count(), 1);
}
