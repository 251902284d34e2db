//! Making a change of the document.

use std::io::Write;

use anyhow::{Context, Result};
use azureway_config::document::Checker;
use azureway_core::config::{Edit, Snapshot};
use clap::ArgMatches;

use crate::Exit;
use crate::printer::Printer;
use crate::report::EditReport;
use crate::session::Session;
use crate::store::EditDriver;

/// Changes the document from `base` to `text` and prints the outcome.
pub(crate) fn change<W: Write>(
    session: &Session,
    matches: &ArgMatches,
    base: &Snapshot,
    text: &str,
    printer: &mut Printer<W>,
) -> Result<Exit> {
    let reason: &String = matches
        .get_one("reason")
        .context("no reason given; use --reason")?;
    let metadata = session.new_metadata(reason)?;
    let (store, id) = (session.store(), metadata.id.clone());
    let mut driver = EditDriver::new(&store, seed(id.as_str()));
    let outcome = driver.run(Edit::new(metadata, base, text, Checker::new()));
    let report = EditReport::new(&id, &outcome).with_error(driver.last_error);
    printer.print(&report)?;
    Ok(report.exit())
}

/// Returns the seed of the retry delays of the change with this ID.
fn seed(id: &str) -> u64 {
    id.bytes().fold(0, |sum, b| sum << 4 ^ u64::from(b))
}
