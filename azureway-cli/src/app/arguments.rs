//! The arguments that several commands take.

use clap::{Arg, ArgAction};

/// Returns the option `--name`, which takes a value.
pub(super) fn option(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name(value).help(help)
}

/// Returns the flag `--add`, which lets a command create a section that does not exist.
pub(super) fn add_flag() -> Arg {
    Arg::new("add")
        .long("add")
        .action(ArgAction::SetTrue)
        .help("Adds the section if it does not exist")
}

/// Returns the option `--reason`, which gives the reason of a change.
pub(super) fn reason_option() -> Arg {
    option("reason", "TEXT", "The reason, for the audit trail").required(true)
}
