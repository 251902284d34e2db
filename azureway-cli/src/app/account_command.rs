//! Definition of `account` and its subcommands for the command-line parser.

use clap::{Arg, Command};

use super::arguments::{add_flag, option, reason_option};

/// Returns the command `account` with its subcommands.
pub(super) fn command() -> Command {
    Command::new("account")
        .about("Lists and changes client accounts")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(Command::new("list").about("Lists the client accounts"))
        .subcommand(
            Command::new("set")
                .about("Sets the limit or the weight of an account")
                .arg(account_name())
                .args([
                    option("limit", "NUMBER", "Tokens per second, over all instances"),
                    option(
                        "weight",
                        "NUMBER",
                        "The account's share relative to others with requests of the same rank",
                    ),
                    add_flag(),
                    reason_option(),
                ]),
        )
        .subcommand(
            Command::new("add-key")
                .about("Generates an API key, prints it once and stores its digest")
                .args([account_name(), reason_option()]),
        )
        .subcommand(
            Command::new("remove-key")
                .about("Removes the API keys whose digest begins with the given digits")
                .args([
                    account_name(),
                    Arg::new("digest").required(true),
                    reason_option(),
                ]),
        )
        .subcommand(
            Command::new("remove")
                .about("Removes an account")
                .args([account_name(), reason_option()]),
        )
}

fn account_name() -> Arg {
    Arg::new("name").value_name("ACCOUNT").required(true)
}
