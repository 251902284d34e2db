//! `drain`.

use std::io::Write;

use anyhow::Result;
use azureway_config::document::SectionEdit;
use azureway_core::config::{Delta, SectionChange, Sections};
use clap::ArgMatches;

use super::clients;
use crate::config::change;
use crate::report::{DrainReport, List};
use crate::session::Session;
use crate::shell::Shell;
use crate::{Exit, Failure};

/// Shuts entry instances down, or takes a backend server out.
pub(super) fn run<W: Write>(matches: &ArgMatches, mut shell: Shell<W>) -> Result<Exit> {
    if let Some(server) = matches.get_one::<String>("server") {
        return take_out(server, matches, &mut shell);
    }
    let mut reports = Vec::new();
    for client in clients(matches)? {
        client.drain()?;
        reports.push(DrainReport::new(client.address()));
    }
    shell.print(&List(reports))?;
    Ok(Exit::Done)
}

fn take_out<W: Write>(server: &str, matches: &ArgMatches, shell: &mut Shell<W>) -> Result<Exit> {
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
    change(&session, matches, &base, &delta.apply(&sections), shell)
}
