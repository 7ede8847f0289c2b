//! Generates `src/generated/` from `proto/operators.proto`. Run by hand after a change of the
//! schema: `cargo run -p lovagespindle-operators --example generate`.

use std::path::{
    Path,
    PathBuf, //
};

fn main() -> anyhow::Result<()> {
    let package = Path::new(env!("CARGO_MANIFEST_DIR"));
    let target: PathBuf = match std::env::args_os().nth(1) {
        Some(directory) => directory.into(),
        None => package.join("src/generated"),
    };
    generate(package, &target)
}

/// Writes the generated code for the schema of `package` to the directory `target`.
pub(crate) fn generate(package: &Path, target: &Path) -> anyhow::Result<()> {
    let schema = protox::compile(["operators.proto"], [package.join("proto")])?;
    tonic_prost_build::configure()
        .btree_map(".")
        .emit_rerun_if_changed(false)
        .out_dir(target)
        .compile_fds(schema)?;
    Ok(())
}
