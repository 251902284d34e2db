//! The command `config put`.

use std::io::Write;

use anyhow::Result;
use azureway_config::document::Checker;
use azureway_core::config::{ChangeId, DocumentCheck, EditOutcome, Snapshot};
use clap::ArgMatches;

use super::{base, change, read_file};
use crate::printer::Printer;
use crate::report::{DocumentReport, EditReport};
use crate::session::Session;
use crate::{Exit, Failure};

/// Writes an edited document, as a change of the version that its first line names.
pub(super) fn run<W: Write>(matches: &ArgMatches, mut printer: Printer<W>) -> Result<Exit> {
    let file = read_file(matches)?;
    // The file is checked including its version line, so that faults have the line numbers of the
    // file.
    if let Err(faults) = Checker::new().check(&file) {
        let report = EditReport::new(&ChangeId::new(""), &EditOutcome::Invalid(faults));
        printer.print(&report)?;
        return Ok(report.exit());
    }
    let session = Session::new(matches)?;
    let (version, text) = DocumentReport::split(&file);
    let base = find_base(&session, version)?;
    change(&session, matches, &base, text, &mut printer)
}

/// Returns the version of the document on which the edited file is based. A file without a version
/// is accepted only if no document exists.
fn find_base(session: &Session, version: Option<u64>) -> Result<Snapshot> {
    let current = session.store().read()?;
    match version {
        Some(version) => base::snapshot_at(session, &current, version),
        None if current.version.get() == 0 => Ok(current),
        None => {
            let detail = "the file does not name the version that it is based on; get the \
                          document with `azureway config get` and edit that file";
            Err(Failure::new(Exit::Usage, detail).into())
        }
    }
}
