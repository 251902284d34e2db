//! Definition of `config` and its subcommands for the command-line parser.

use clap::{Arg, ArgAction, Command, value_parser};

use super::arguments::{add_flag, option, reason_option};

/// Returns the command `config` with its subcommands.
pub(super) fn command() -> Command {
    Command::new("config")
        .about("Reads and changes the configuration document")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([check(), get(), edit(), put(), diff(), history()])
}

fn check() -> Command {
    Command::new("check")
        .about("Lists every fault of a document, without contacting the platform")
        .arg(file())
}

fn get() -> Command {
    let file = option(
        "file",
        "FILE",
        "The file to write the document to [default: standard output]",
    );
    Command::new("get")
        .about("Reads the document; its first line names its version, which `config put` needs")
        .arg(file.short('f'))
}

fn edit() -> Command {
    let set = option("set", "KEY=VALUE", "Sets a key of the section").action(ArgAction::Append);
    let unset = option("unset", "KEY", "Removes a key of the section").action(ArgAction::Append);
    let remove = Arg::new("remove")
        .long("remove")
        .action(ArgAction::SetTrue)
        .conflicts_with_all(["set", "unset", "add"])
        .help("Removes the section");
    Command::new("edit")
        .about("Changes one section")
        .arg(
            Arg::new("section")
                .required(true)
                .help("The section, such as 'account wax-desk'"),
        )
        .args([set, unset, remove, add_flag(), reason_option()])
}

fn put() -> Command {
    Command::new("put")
        .about("Writes a document that was read with `config get` and edited")
        .args([file(), reason_option()])
}

fn diff() -> Command {
    Command::new("diff")
        .about("Shows what a file would change, or what has changed since a version")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("An edited document"),
        )
        .arg(
            option(
                "since",
                "VERSION",
                "The version to compare the current document with",
            )
            .value_parser(value_parser!(u64))
            .conflicts_with("file"),
        )
}

fn history() -> Command {
    let days = option(
        "days",
        "NUMBER",
        "The number of days to look back, including today",
    )
    .value_parser(value_parser!(u32).range(1..=366))
    .default_value("7");
    let diff = Arg::new("diff")
        .long("diff")
        .action(ArgAction::SetTrue)
        .help("Shows the difference that each change made");
    Command::new("history")
        .about("Lists the audit trail, the newest change first")
        .args([days, diff])
        .args([
            option("by", "NAME", "Only changes by this author"),
            option("of", "TEAM", "Only changes by this team"),
            option("section", "SECTION", "Only changes of this section"),
            option("id", "ID", "Only the change with this ID"),
        ])
}

fn file() -> Arg {
    Arg::new("file").value_name("FILE").required(true)
}
