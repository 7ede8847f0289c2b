//! The generated code.

#![allow(clippy::unwrap_used)] // helpers of tests may panic

use std::fs;
use std::path::Path;

#[path = "../examples/generate.rs"]
mod generate;

/// Guards against schema files that changed without their generated code.
#[test]
fn generated_code_is_current() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let fresh = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated-platform");
    fs::create_dir_all(&fresh).unwrap();
    generate::generate(package, &fresh).unwrap();
    let mut files = 0;
    for file in fs::read_dir(&fresh).unwrap() {
        let name = file.unwrap().file_name();
        let wanted = fs::read_to_string(fresh.join(&name)).unwrap();
        let found = fs::read_to_string(package.join("src/generated").join(&name)).unwrap();
        assert!(
            wanted == found,
            "{name:?} is not current: run the example generate"
        );
        files += 1;
    }
    assert_eq!(
        files,
        fs::read_dir(package.join("src/generated")).unwrap().count()
    );
}
