//! Tests that the generated code matches the schema.

#![allow(clippy::unwrap_used)] // helpers of tests may panic

use std::path::Path;

#[allow(dead_code)] // `main` is only called when run by hand
#[path = "../examples/generate.rs"]
mod generate;

macro_rules! cases {
    ($($(#[$doc:meta])* $name:ident => $body:expr;)*) => {
        $($(#[$doc])* #[test] fn $name() { $body })*
    };
}

cases! {
    /// Guards against a schema change after which the generator was not run.
    generated_code_is_current => {
        let package = Path::new(env!("CARGO_MANIFEST_DIR"));
        let fresh = Path::new(env!("CARGO_TARGET_TMPDIR")).join("generated-operators");
        std::fs::create_dir_all(&fresh).unwrap();
        generate::generate(package, &fresh).unwrap();
        let file = "lovagespindle.operators.v1.rs";
        let committed = std::fs::read_to_string(package.join("src/generated").join(file)).unwrap();
        let generated = std::fs::read_to_string(fresh.join(file)).unwrap();
        assert!(
            committed == generated,
            "run `cargo run -p lovagespindle-operators --example generate`"
        );
    };
}
