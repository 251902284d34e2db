//! The complete command line.

use std::net::SocketAddr;

use clap::{Arg, Command, value_parser};
use clap_complete::Shell;

use super::arguments::option;
use super::{account_command, admin_command, config_command};

/// The exit codes, printed at the end of the help; [`Exit`](crate::Exit) defines them.
const EXIT_CODES: &str = "Exit codes:
  0  done
  1  a file, the platform or an entry could not be reached; nothing was written
  2  the command line is wrong
  3  the document has faults or is too large; nothing was written
  4  another change was made to the same sections; nothing was written
  5  a changed section belongs to another team; nothing was written
  6  the platform did not answer, and the write may have taken effect or may yet do so
  7  what the command names does not exist";

/// Returns the complete command line.
pub fn command() -> Command {
    Command::new("azureway")
        .about("Configures and inspects azureway")
        .after_help(EXIT_CODES)
        .subcommand_required(true)
        .arg_required_else_help(true)
        .args(global_options())
        .subcommand(config_command::command())
        .subcommand(account_command::command())
        .subcommands(admin_command::commands())
        .subcommand(completions())
}

/// Returns the options that every command accepts.
fn global_options() -> [Arg; 4] {
    [
        option(
            "platform",
            "ADDRESS",
            "The platform's object API, by IP address and port",
        )
        .env("AZUREWAY_PLATFORM")
        .value_parser(value_parser!(SocketAddr)),
        option(
            "team",
            "TEAM",
            "The team on whose behalf you act [default: operators]",
        )
        .env("AZUREWAY_TEAM"),
        option(
            "author",
            "NAME",
            "Your name in the audit trail [default: the name of the system user]",
        )
        .env("AZUREWAY_AUTHOR"),
        option("output", "FORMAT", "The output format")
            .value_parser(["text", "json"])
            .default_value("text"),
    ]
    .map(|arg| arg.global(true))
}

fn completions() -> Command {
    let shell = Arg::new("shell")
        .required(true)
        .value_parser(value_parser!(Shell));
    Command::new("completions")
        .about("Prints a shell's completion script")
        .arg(shell)
}
