//! The commands on client accounts.

mod keys;
mod list;

use std::io::Write;

use anyhow::{Context, Result};
use azureway_config::document::SectionEdit;
use azureway_core::config::{Delta, SectionChange, Sections};
use clap::ArgMatches;

use crate::Exit;
use crate::config::{change, missing};
use crate::session::Session;
use crate::shell::Shell;

/// Runs a command on client accounts.
pub(crate) fn run<W: Write>(matches: &ArgMatches, mut shell: Shell<W>) -> Result<Exit> {
    let (name, sub) = matches.subcommand().context("name a command")?;
    match name {
        "list" => list::run(sub, shell),
        "add-key" => keys::add(sub, shell),
        "remove-key" => update(sub, &mut shell, |edit| keys::removed(edit, sub).map(Some)),
        "remove" => update(sub, &mut shell, |_| Ok(None)),
        _ => update(sub, &mut shell, |edit| Ok(Some(set(edit, sub)))),
    }
}

fn set(mut edit: SectionEdit, matches: &ArgMatches) -> SectionEdit {
    for key in ["limit", "weight"] {
        if let Some(value) = matches.get_one::<String>(key) {
            edit = edit.with_entry(key, value);
        }
    }
    edit
}

/// Changes the section of the account that the command names; `None` removes it.
fn update<W: Write>(
    matches: &ArgMatches,
    shell: &mut Shell<W>,
    edited: impl FnOnce(SectionEdit) -> Result<Option<SectionEdit>>,
) -> Result<Exit> {
    let session = Session::new(matches)?;
    let base = session.store().read()?;
    let account: &String = matches.get_one("name").context("name an account")?;
    let (name, sections) = (format!("account {account}"), Sections::parse(&base.text));
    let before = sections.get(&name).map(|s| s.text);
    let add = matches
        .try_get_one("add")
        .ok()
        .flatten()
        .is_some_and(|a| *a);
    if before.is_none() && !add {
        return Err(missing(&name, &sections).into());
    }
    let empty = SectionEdit::empty(&name).with_entry("team", session.team().as_str());
    let after = edited(before.map_or(empty, SectionEdit::new))?.map(|e| e.text());
    let delta = Delta::new(vec![SectionChange::new(&name, before, after.as_deref())]);
    change(&session, matches, &base, &delta.apply(&sections), shell)
}
