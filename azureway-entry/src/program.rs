//! The command line and settings that the programs of all daemons share.

use std::fs;

use anyhow::{Context, Result};
use azureway_config::settings::{self, EntrySettings};
use clap::{Arg, ArgAction, ArgMatches, Command};

/// Returns the command line definition of a daemon.
pub fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("The settings file, in INI format"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Checks the settings and exits"),
        )
}

/// Reads the settings file named on the command line.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or one that lists every fault of its text.
pub fn read_settings(matches: &ArgMatches) -> Result<EntrySettings> {
    let path = path(matches)?;
    let text = fs::read_to_string(path).with_context(|| format!("read settings {path}"))?;
    settings::parse(&text).with_context(|| format!("check settings {path}"))
}

/// Returns whether `--check` was given, and reports that the settings are valid if so.
///
/// # Errors
///
/// Returns an error if the command line names no settings file.
pub fn is_check(matches: &ArgMatches) -> Result<bool> {
    let check = matches.get_flag("check");
    if check {
        println!("{}: the settings are good", path(matches)?);
    }
    Ok(check)
}

fn path(matches: &ArgMatches) -> Result<&String> {
    matches
        .get_one("settings")
        .context("--settings is required")
}
