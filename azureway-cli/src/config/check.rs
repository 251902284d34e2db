//! `config check`.

use std::io::Write;

use anyhow::Result;
use azureway_config::document::Checker;
use azureway_core::config::DocumentCheck;
use clap::ArgMatches;

use super::read_file;
use crate::Exit;
use crate::report::CheckReport;
use crate::shell::Shell;

/// Names every fault of a file.
pub(super) fn run<W: Write>(matches: &ArgMatches, mut shell: Shell<W>) -> Result<Exit> {
    let text = read_file(matches)?;
    if let Err(faults) = Checker::new().check(&text) {
        shell.print(&CheckReport::bad(&faults))?;
        return Ok(Exit::Invalid);
    }
    shell.print(&CheckReport::good())?;
    Ok(Exit::Done)
}
