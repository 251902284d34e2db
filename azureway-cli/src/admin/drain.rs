//! The command `drain`, for entry instances and backend servers.

use std::io::Write;

use anyhow::Result;
use azureway_config::document::SectionEdit;
use azureway_core::config::{Delta, SectionChange, Sections};
use clap::ArgMatches;

use super::clients;
use crate::config::change;
use crate::printer::Printer;
use crate::report::{DrainReport, ReportList};
use crate::session::Session;
use crate::{Exit, Failure};

/// Drains a backend server, or drains and shuts down the entry instances that the command names.
pub(super) fn run<W: Write>(matches: &ArgMatches, mut printer: Printer<W>) -> Result<Exit> {
    if let Some(server) = matches.get_one::<String>("server") {
        return drain_server(server, matches, &mut printer);
    }
    let mut reports = Vec::new();
    for client in clients(matches)? {
        client.drain()?;
        reports.push(DrainReport::new(client.address()));
    }
    printer.print(&ReportList(reports))?;
    Ok(Exit::Done)
}

/// Marks a backend server as leaving in the document, or removes the mark with `--undo`.
fn drain_server<W: Write>(
    server: &str,
    matches: &ArgMatches,
    printer: &mut Printer<W>,
) -> Result<Exit> {
    let session = Session::new(matches)?;
    let base = session.store().read()?;
    let (name, sections) = (format!("server {server}"), Sections::parse(&base.text));
    let Some(before) = sections.get(&name).map(|s| s.text) else {
        let detail = format!("no backend server `{server}` exists");
        return Err(Failure::new(Exit::NotFound, detail).into());
    };
    let edit = SectionEdit::new(before);
    let after = match matches.get_flag("undo") {
        true => edit.without_entry("leaving"),
        false => edit.with_entry("leaving", "yes"),
    };
    let delta = Delta::new(vec![SectionChange::new(
        &name,
        Some(before),
        Some(&after.text()),
    )]);
    change(&session, matches, &base, &delta.apply(&sections), printer)
}
