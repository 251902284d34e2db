//! The command `config history`.

use std::io::Write;

use anyhow::Result;
use azureway_core::config::{AcceptedChange, History};
use clap::ArgMatches;

use crate::printer::Printer;
use crate::report::{HistoryReport, ReportList};
use crate::session::{Session, now};
use crate::{Exit, Failure};

/// Prints the audit trail, the newest change first.
pub(super) fn run<W: Write>(matches: &ArgMatches, mut printer: Printer<W>) -> Result<Exit> {
    let store = Session::new(matches)?.store();
    let (mut history, mut day) = (History::new(), now());
    // The document is read before the archive. In the other order, a change could archive and
    // replace the current record in between, and that record would be missing from both.
    let current = store.read()?;
    current
        .last_change()
        .into_iter()
        .for_each(|c| history.insert(c));
    for _ in 0..matches.get_one("days").copied().unwrap_or(1_u32) {
        store.add_day(day, &mut history)?;
        day = day.day_before();
    }
    let selected = history.iter().rev().filter(|c| matches_filters(c, matches));
    let diff = matches.get_flag("diff");
    let reports: Vec<_> = selected.map(|c| HistoryReport::new(c, diff)).collect();
    if reports.is_empty() && matches.contains_id("id") {
        let detail = "no accepted change has this ID; use --days to look back further";
        return Err(Failure::new(Exit::NotFound, detail).into());
    }
    printer.print(&ReportList(reports))?;
    Ok(Exit::Done)
}

/// Returns whether a change matches every filter of the command line.
fn matches_filters(change: &AcceptedChange, matches: &ArgMatches) -> bool {
    let (metadata, delta) = (&change.record.metadata, &change.record.delta);
    let filter = |name| matches.get_one::<String>(name).map(String::as_str);
    filter("by").is_none_or(|w| *metadata.author == *w)
        && filter("of").is_none_or(|w| metadata.team.as_str() == w)
        && filter("id").is_none_or(|w| metadata.id.as_str() == w)
        && filter("section").is_none_or(|w| delta.changes().iter().any(|c| *c.name == *w))
}
