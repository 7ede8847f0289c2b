//! Checks that the generated code in `src/generated` matches the schema files.
//!
//! To regenerate it, run this test with `UPDATE_GENERATED=1`.

#![allow(clippy::unwrap_used)] // clippy.toml covers only functions marked as tests.

use std::fs;
use std::path::Path;

use lovagespindle_stand_ins::cases;

const FILES: [&str; 2] = ["grpc.health.v1.rs", "lovagespindle.load.v1.rs"];

/// Guards against generated code that was edited or not regenerated after a schema change.
fn matches_schemas() {
    let out = Path::new(env!("CARGO_TARGET_TMPDIR"));
    let set = protox::compile(["health.proto", "load.proto"], ["proto"]).unwrap();
    let config = tonic_prost_build::configure().out_dir(out);
    config.compile_fds(set).unwrap();
    for file in FILES {
        let fresh = fs::read_to_string(out.join(file)).unwrap();
        let committed = Path::new("src/generated").join(file);
        if std::env::var_os("UPDATE_GENERATED").is_some() {
            fs::write(&committed, &fresh).unwrap();
        }
        let committed = fs::read_to_string(committed).unwrap();
        assert!(fresh == committed, "{file} is not up to date");
    }
}

cases! {
    generated_code_is_up_to_date => matches_schemas();
}
