//! Generates `src/generated/` from the protobuf files. Run `cargo run --example generate` in this
//! package.

use std::error::Error;
use std::path::Path;

const FILES: [&str; 3] = ["etcd.proto", "config.proto", "list.proto"];

/// Generates the code into the directory `out`.
///
/// Returns an error if a protobuf file cannot be compiled or a generated file cannot be written.
pub(crate) fn generate(package: &Path, out: &Path) -> Result<(), Box<dyn Error>> {
    let descriptors = protox::compile(FILES, [package.join("proto")])?;
    tonic_prost_build::configure()
        .bytes(".")
        .out_dir(out)
        .compile_fds(descriptors)?;
    Ok(())
}

#[allow(dead_code)] // tests/generated.rs includes this file as a module
fn main() -> Result<(), Box<dyn Error>> {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    generate(package, &package.join("src/generated"))
}
