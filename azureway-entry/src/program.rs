//! What the programs of every daemon do before they start it.

use std::fs;

use anyhow::{Context, Result};
use azureway_config::settings::{self, EntrySettings};
use clap::{Arg, ArgAction, ArgMatches, Command};

/// Returns the command line of a daemon.
pub fn command(name: &'static str, about: &'static str) -> Command {
    Command::new(name)
        .about(about)
        .arg(
            Arg::new("settings")
                .long("settings")
                .value_name("FILE")
                .required(true)
                .help("The settings, in INI"),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Checks the settings and exits"),
        )
}

/// Reads the settings that a command line names.
///
/// # Errors
///
/// Returns an error if the file cannot be read, or every fault of its text.
pub fn read_settings(matches: &ArgMatches) -> Result<EntrySettings> {
    let path = path(matches)?;
    let text = fs::read_to_string(path).with_context(|| format!("read settings {path}"))?;
    settings::parse(&text).with_context(|| format!("check settings {path}"))
}

/// Tells whether good settings were only to be checked, and says so.
///
/// # Errors
///
/// Returns an error if the command line names no settings.
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
