//! The command `config edit`.

use std::io::Write;

use anyhow::{Context, Result};
use azureway_config::document::SectionEdit;
use azureway_core::config::{Delta, SectionChange, Sections};
use clap::ArgMatches;

use super::{change, missing_section};
use crate::printer::Printer;
use crate::session::Session;
use crate::{Exit, Failure};

/// Changes, adds or removes one section.
pub(super) fn run<W: Write>(matches: &ArgMatches, mut printer: Printer<W>) -> Result<Exit> {
    let session = Session::new(matches)?;
    let base = session.store().read()?;
    let name: &String = matches.get_one("section").context("no section given")?;
    let sections = Sections::parse(&base.text);
    let before = sections.get(name).map(|s| s.text);
    if before.is_none() && !matches.get_flag("add") {
        return Err(missing_section(name, &sections).into());
    }
    let after = if matches.get_flag("remove") {
        None
    } else {
        Some(edit_section(name, before, &session, matches)?)
    };
    let delta = Delta::new(vec![SectionChange::new(name, before, after.as_deref())]);
    change(
        &session,
        matches,
        &base,
        &delta.apply(&sections),
        &mut printer,
    )
}

/// Returns the text of the section after the edits of `--set` and `--unset`. A section that does
/// not exist yet gets the operator's team.
fn edit_section(
    name: &str,
    before: Option<&str>,
    session: &Session,
    matches: &ArgMatches,
) -> Result<String> {
    let empty = SectionEdit::empty(name).with_entry("team", session.team().as_str());
    let mut edit = before.map_or(empty, SectionEdit::new);
    for entry in matches.get_many::<String>("set").unwrap_or_default() {
        let usage = || Failure::new(Exit::Usage, format!("expected KEY=VALUE, found `{entry}`"));
        let (key, value) = entry.split_once('=').ok_or_else(usage)?;
        edit = edit.with_entry(key.trim(), value.trim());
    }
    for key in matches.get_many::<String>("unset").unwrap_or_default() {
        edit = edit.without_entry(key);
    }
    Ok(edit.text())
}
