//! From a command line to its command.

use std::io::Write;

use anyhow::{Context, Result};
use clap::ArgMatches;

use super::command;
use crate::printer::Printer;
use crate::{Exit, account, admin, config};

/// Runs a command line and prints to `out`.
///
/// # Errors
///
/// Returns an error if a file, the platform or an entry cannot be reached, or a
/// [`Failure`](crate::Failure) with the exit code for what else went wrong.
pub fn run(matches: &ArgMatches, mut out: impl Write) -> Result<Exit> {
    let (name, sub) = matches.subcommand().context("name a command")?;
    if name == "completions" {
        let shell = sub.get_one::<clap_complete::Shell>("shell");
        let shell = *shell.context("name a shell")?;
        clap_complete::generate(shell, &mut command(), "azureway", &mut out);
        return Ok(Exit::Done);
    }
    let json = sub.get_one::<String>("output").is_some_and(|o| o == "json");
    let printer = Printer::new(out, json);
    match name {
        "config" => config::run(sub, printer),
        "account" => account::run(sub, printer),
        _ => admin::run(name, sub, printer),
    }
}
