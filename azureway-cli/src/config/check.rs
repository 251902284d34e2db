//! The command `config check`.

use std::io::Write;

use anyhow::Result;
use azureway_config::document::Checker;
use azureway_core::config::DocumentCheck;
use clap::ArgMatches;

use super::read_file;
use crate::Exit;
use crate::printer::Printer;
use crate::report::CheckReport;

/// Prints every fault of a file.
pub(super) fn run<W: Write>(matches: &ArgMatches, mut printer: Printer<W>) -> Result<Exit> {
    let text = read_file(matches)?;
    if let Err(faults) = Checker::new().check(&text) {
        printer.print(&CheckReport::invalid(&faults))?;
        return Ok(Exit::Invalid);
    }
    printer.print(&CheckReport::valid())?;
    Ok(Exit::Done)
}
