//! Dispatch of `account` to its subcommands, and the edit of an account's section that they share.

mod keys;
mod list;

use std::io::Write;

use anyhow::{Context, Result};
use azureway_config::document::SectionEdit;
use azureway_core::config::{Delta, SectionChange, Sections};
use clap::ArgMatches;

use crate::Exit;
use crate::config::{change, missing_section};
use crate::printer::Printer;
use crate::session::Session;

/// Runs a command on client accounts.
pub(crate) fn run<W: Write>(matches: &ArgMatches, mut printer: Printer<W>) -> Result<Exit> {
    let (name, sub) = matches.subcommand().context("no command given")?;
    match name {
        "list" => list::run(sub, printer),
        "add-key" => keys::add(sub, printer),
        "remove-key" => update(sub, &mut printer, |edit| keys::remove(edit, sub).map(Some)),
        "remove" => update(sub, &mut printer, |_| Ok(None)),
        _ => update(sub, &mut printer, |edit| Ok(Some(set_entries(edit, sub)))),
    }
}

/// Sets the keys of the section for which the options give values.
fn set_entries(mut edit: SectionEdit, matches: &ArgMatches) -> SectionEdit {
    for key in ["limit", "weight"] {
        if let Some(value) = matches.get_one::<String>(key) {
            edit = edit.with_entry(key, value);
        }
    }
    edit
}

/// Applies `edit_section` to the section of the account that the command names and writes the
/// result; `None` removes the section.
fn update<W: Write>(
    matches: &ArgMatches,
    printer: &mut Printer<W>,
    edit_section: impl FnOnce(SectionEdit) -> Result<Option<SectionEdit>>,
) -> Result<Exit> {
    let session = Session::new(matches)?;
    let base = session.store().read()?;
    let account: &String = matches.get_one("name").context("no account given")?;
    let (name, sections) = (format!("account {account}"), Sections::parse(&base.text));
    let before = sections.get(&name).map(|s| s.text);
    let add = matches
        .try_get_one("add")
        .ok()
        .flatten()
        .is_some_and(|a| *a);
    if before.is_none() && !add {
        return Err(missing_section(&name, &sections).into());
    }
    let empty = SectionEdit::empty(&name).with_entry("team", session.team().as_str());
    let after = edit_section(before.map_or(empty, SectionEdit::new))?.map(|e| e.text());
    let delta = Delta::new(vec![SectionChange::new(&name, before, after.as_deref())]);
    change(&session, matches, &base, &delta.apply(&sections), printer)
}
