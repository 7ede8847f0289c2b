//! Generates `src/generated/` from the schema. Run `cargo run --example generate` in this package.

use std::error::Error;
use std::path::Path;

/// Writes the generated code to the directory `out`. Returns an error if the schema is invalid or a
/// file cannot be written.
pub fn generate(package: &Path, out: &Path) -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(["instances.proto"], [package.join("proto")])?;
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir(out)
        .compile_fds(descriptors)?;
    Ok(())
}

#[allow(
    dead_code,
    reason = "the test of the generated code includes this file and does not call main"
)]
fn main() -> Result<(), Box<dyn Error>> {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    generate(package, &package.join("src/generated"))
}
