//! The command `config diff`.

use std::io::Write;

use anyhow::Result;
use azureway_core::config::{Delta, Sections};
use clap::ArgMatches;

use super::{base, read_file};
use crate::printer::Printer;
use crate::report::{DiffReport, DocumentReport};
use crate::session::Session;
use crate::{Exit, Failure};

/// Prints what a file would change, or what has changed since a version.
pub(super) fn run<W: Write>(matches: &ArgMatches, mut printer: Printer<W>) -> Result<Exit> {
    let session = Session::new(matches)?;
    let current = session.store().read()?;
    let (old, new) = if let Some(version) = matches.get_one::<u64>("since") {
        let old = base::snapshot_at(&session, &current, *version)?;
        (old.text, current.text)
    } else if matches.contains_id("file") {
        let file = read_file(matches)?;
        let (version, text) = DocumentReport::split(&file);
        let version = version.unwrap_or_else(|| current.version.get());
        let old = base::snapshot_at(&session, &current, version)?;
        (old.text, text.into())
    } else {
        return Err(Failure::new(
            Exit::Usage,
            "no file and no version given; name a file or use --since VERSION",
        )
        .into());
    };
    let delta = Delta::between(&Sections::parse(&old), &Sections::parse(&new));
    printer.print(&DiffReport::new(delta.changes()))?;
    Ok(Exit::Done)
}
