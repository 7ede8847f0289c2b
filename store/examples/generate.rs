//! Writes `src/generated/` from the schema files: `cargo run --example generate` in this package.

use std::error::Error;
use std::path::Path;

const FILES: [&str; 3] = ["etcd.proto", "config.proto", "list.proto"];

/// Writes the generated code to a directory.
pub(crate) fn generate(package: &Path, out: &Path) -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(FILES, [package.join("proto")])?;
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir(out)
        .compile_fds(descriptors)?;
    Ok(())
}

#[allow(dead_code)] // the test of the generated code includes this file as a module
fn main() -> Result<(), Box<dyn Error>> {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    generate(package, &package.join("src/generated"))
}
