//! Tasks for developers of azureway.

use std::path::Path;

use anyhow::{Context, Result};
use clap::Command;

/// The folder of the Protocol Buffers definition of the peer interface.
const PROTO: &str = "azureway-wire/proto";
/// The folder of the code that is generated from the definition.
const GENERATED: &str = "azureway-wire/src/gen";

fn main() -> Result<()> {
    let command = Command::new("xtask")
        .about("Tasks for developers of azureway")
        .subcommand_required(true)
        .subcommand(Command::new("gen").about("Generates the code of the peer interface"));
    match command.get_matches().subcommand_name() {
        Some("gen") => generate(),
        _ => Ok(()),
    }
}

/// Generates the code of the peer interface. It is committed, so that a build needs no generator.
fn generate() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .parent()
        .context("find the workspace root")?;
    let proto = root.join(PROTO);
    let files = protox::compile([proto.join("peer.proto")], [&proto])
        .with_context(|| format!("compile {PROTO}"))?;
    tonic_prost_build::configure()
        .out_dir(root.join(GENERATED))
        .emit_rerun_if_changed(false)
        .compile_fds(files)
        .with_context(|| format!("write {GENERATED}"))
}
