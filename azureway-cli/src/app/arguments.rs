//! The arguments that several commands take.

use clap::{Arg, ArgAction};

/// Returns an option that takes a value.
pub(super) fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

/// Returns the option that lets a command add what does not exist.
pub(super) fn add_flag() -> Arg {
    Arg::new("add")
        .long("add")
        .action(ArgAction::SetTrue)
        .help("Adds it if it does not exist")
}

/// Returns the option that tells why a change is made.
pub(super) fn reason_option() -> Arg {
    option("reason", "TEXT", "Why, for the audit trail").required(true)
}
