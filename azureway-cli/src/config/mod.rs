//! Dispatch of `config` to its subcommands, and the helpers that they share.

mod base;
mod change;
mod check;
mod diff;
mod edit;
mod get;
mod history;
mod put;

pub(crate) use change::change;

use std::io::Write;

use anyhow::{Context, Result};
use azureway_config::nearest;
use azureway_core::config::Sections;
use clap::ArgMatches;

use crate::printer::Printer;
use crate::{Exit, Failure};

/// Runs a command on the configuration document.
pub(crate) fn run<W: Write>(matches: &ArgMatches, printer: Printer<W>) -> Result<Exit> {
    let (name, sub) = matches.subcommand().context("no command given")?;
    match name {
        "check" => check::run(sub, printer),
        "get" => get::run(sub, printer),
        "edit" => edit::run(sub, printer),
        "put" => put::run(sub, printer),
        "diff" => diff::run(sub, printer),
        _ => history::run(sub, printer),
    }
}

/// Returns the failure of a command whose section does not exist. It suggests the section with the
/// nearest name.
pub(crate) fn missing_section(name: &str, sections: &Sections<'_>) -> Failure {
    let names: Vec<&str> = sections.iter().map(|s| s.name).collect();
    let hint = nearest(name, &names).map_or(".".to_owned(), |n| format!("; did you mean [{n}]?"));
    let detail = format!("no section [{name}] exists{hint} Use --add to add a new section");
    Failure::new(Exit::NotFound, detail)
}

/// Reads the file that the command names.
fn read_file(matches: &ArgMatches) -> Result<String> {
    let path: &String = matches.get_one("file").context("no file given")?;
    std::fs::read_to_string(path).with_context(|| format!("read {path}"))
}
