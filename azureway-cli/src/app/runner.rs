//! Runs a parsed command line by dispatching it to the code of its command.

use std::io::Write;

use anyhow::{Context, Result};
use clap::ArgMatches;

use super::command;
use crate::printer::Printer;
use crate::{Exit, account, admin, config};

/// Runs the command of a parsed command line, prints to `out` and returns the exit code.
///
/// # Errors
///
/// Returns an error if a file, the platform or an entry instance cannot be reached. Other failures
/// return a [`Failure`](crate::Failure) with their own exit code.
pub fn run(matches: &ArgMatches, mut out: impl Write) -> Result<Exit> {
    let (name, sub) = matches.subcommand().context("no command given")?;
    if name == "completions" {
        let shell = sub.get_one::<clap_complete::Shell>("shell");
        let shell = *shell.context("no shell given")?;
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
