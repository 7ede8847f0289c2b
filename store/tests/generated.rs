//! Checks that the generated code is up to date.

#![allow(clippy::unwrap_used)] // helpers of tests may panic

use std::fs;
use std::path::Path;

#[path = "../examples/generate.rs"]
mod generate;

/// Guards against protobuf files that changed without their generated code.
#[test]
fn generated_code_is_up_to_date() {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let output = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated-platform");
    fs::create_dir_all(&output).unwrap();
    generate::generate(package, &output).unwrap();
    let mut files = 0;
    for file in fs::read_dir(&output).unwrap() {
        let name = file.unwrap().file_name();
        let expected = fs::read_to_string(output.join(&name)).unwrap();
        let found = fs::read_to_string(package.join("src/generated").join(&name)).unwrap();
        assert!(
            expected == found,
            "{name:?} is outdated: run `cargo run --example generate`"
        );
        files += 1;
    }
    assert_eq!(
        files,
        fs::read_dir(package.join("src/generated")).unwrap().count()
    );
}
