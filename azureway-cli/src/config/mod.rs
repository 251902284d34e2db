//! The commands on the document.

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
use clap::ArgMatches;

use crate::Exit;
use crate::shell::Shell;

/// Runs a command on the document.
pub(crate) fn run<W: Write>(matches: &ArgMatches, shell: Shell<W>) -> Result<Exit> {
    let (name, sub) = matches.subcommand().context("name a command")?;
    match name {
        "check" => check::run(sub, shell),
        "get" => get::run(sub, shell),
        "edit" => edit::run(sub, shell),
        "put" => put::run(sub, shell),
        "diff" => diff::run(sub, shell),
        _ => history::run(sub, shell),
    }
}

/// Reads the file that the command names.
fn read_file(matches: &ArgMatches) -> Result<String> {
    let path: &String = matches.get_one("file").context("name a file")?;
    std::fs::read_to_string(path).with_context(|| format!("read {path}"))
}
