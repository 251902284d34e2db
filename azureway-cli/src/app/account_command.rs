//! The commands on client accounts.

use clap::{Arg, Command};

use super::arguments::{add, reason, text};

/// Returns the commands on client accounts.
pub(super) fn command() -> Command {
    Command::new("account")
        .about("Lists and changes client accounts")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("Lists the client accounts"))
        .subcommand(
            Command::new("set")
                .about("Sets an account's entries")
                .arg(name())
                .args([
                    text("limit", "NUMBER", "Tokens a second over all entries"),
                    text(
                        "weight",
                        "NUMBER",
                        "Its share beside other accounts of the same rank",
                    ),
                    add(),
                    reason(),
                ]),
        )
        .subcommand(
            Command::new("add-key")
                .about("Makes a new API key, prints it once and stores its digest")
                .args([name(), reason()]),
        )
        .subcommand(
            Command::new("remove-key")
                .about("Removes the API keys whose digest begins so")
                .args([name(), Arg::new("digest").required(true), reason()]),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes an account")
                .args([name(), reason()]),
        )
}

fn name() -> Arg {
    Arg::new("name").value_name("ACCOUNT").required(true)
}
