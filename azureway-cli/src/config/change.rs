//! What every change of the document does.

use std::io::Write;

use anyhow::{Context, Result};
use azureway_config::document::Checker;
use azureway_core::config::{Edit, Snapshot};
use clap::ArgMatches;

use crate::Exit;
use crate::report::EditReport;
use crate::session::Session;
use crate::shell::Shell;
use crate::store::Driver;

/// Changes the document from `base` to `text` and prints what came of it.
pub(crate) fn change<W: Write>(
    session: &Session,
    matches: &ArgMatches,
    base: &Snapshot,
    text: &str,
    shell: &mut Shell<W>,
) -> Result<Exit> {
    let reason: &String = matches.get_one("reason").context("give a --reason")?;
    let note = session.note(reason)?;
    let (store, id) = (session.store(), note.id.clone());
    let mut driver = Driver::new(&store, seed(id.as_str()));
    let outcome = driver.run(Edit::new(note, base, text, Checker::new()));
    let report = EditReport::new(&id, &outcome).with_error(driver.error);
    shell.print(&report)?;
    Ok(report.exit())
}

/// Returns a seed for the retries of the change with this identity.
fn seed(id: &str) -> u64 {
    id.bytes().fold(0, |sum, b| sum << 4 ^ u64::from(b))
}
