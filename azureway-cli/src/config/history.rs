//! `config history`.

use std::io::Write;

use anyhow::Result;
use azureway_core::config::{AcceptedChange, History};
use clap::ArgMatches;

use crate::report::{HistoryReport, List};
use crate::session::{Session, now};
use crate::shell::Shell;
use crate::{Exit, Failure};

/// Lists the audit trail.
pub(super) fn run<W: Write>(matches: &ArgMatches, mut shell: Shell<W>) -> Result<Exit> {
    let store = Session::new(matches)?.store();
    let (mut history, mut day) = (History::new(), now());
    // Read first: whoever replaces this record archives it before the lists below are read.
    let current = store.read()?;
    current
        .last_change()
        .into_iter()
        .for_each(|c| history.insert(c));
    for _ in 0..matches.get_one("days").copied().unwrap_or(1_u32) {
        store.add_day(day, &mut history)?;
        day = day.day_before();
    }
    let chosen = history.iter().rev().filter(|c| fits(c, matches));
    let diff = matches.get_flag("diff");
    let reports: Vec<_> = chosen.map(|c| HistoryReport::new(c, diff)).collect();
    if reports.is_empty() && matches.contains_id("id") {
        let detail = "no accepted change has this identity; look back further with --days";
        return Err(Failure::new(Exit::NotFound, detail).into());
    }
    shell.print(&List(reports))?;
    Ok(Exit::Done)
}

/// Tells whether a change passes every filter of the command line.
fn fits(change: &AcceptedChange, matches: &ArgMatches) -> bool {
    let (note, delta) = (&change.record.metadata, &change.record.delta);
    let wanted = |filter| matches.get_one::<String>(filter).map(String::as_str);
    wanted("by").is_none_or(|w| *note.author == *w)
        && wanted("of").is_none_or(|w| note.team.as_str() == w)
        && wanted("id").is_none_or(|w| note.id.as_str() == w)
        && wanted("section").is_none_or(|w| delta.changes().iter().any(|c| *c.name == *w))
}
