//! The command `config get`.

use std::io::Write;

use anyhow::{Context, Result};
use clap::ArgMatches;

use crate::Exit;
use crate::printer::Printer;
use crate::report::DocumentReport;
use crate::session::Session;

/// Prints the document or writes it to a file.
pub(super) fn run<W: Write>(matches: &ArgMatches, mut printer: Printer<W>) -> Result<Exit> {
    let snapshot = Session::new(matches)?.store().read()?;
    let report = DocumentReport::new(&snapshot);
    match matches.get_one::<String>("file") {
        None => printer.print(&report)?,
        Some(path) => {
            std::fs::write(path, report.to_string()).with_context(|| format!("write {path}"))?;
        }
    }
    Ok(Exit::Done)
}
