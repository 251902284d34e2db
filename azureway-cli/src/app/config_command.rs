//! The commands on the document.

use clap::{Arg, ArgAction, Command, value_parser};

use super::arguments::{add_flag, option, reason_option};

/// Returns the commands on the document.
pub(super) fn command() -> Command {
    Command::new("config")
        .about("Reads and changes the document")
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands([check(), get(), edit(), put(), diff(), history()])
}

fn check() -> Command {
    Command::new("check")
        .about("Names every fault of a document, without the platform")
        .arg(file())
}

fn get() -> Command {
    let file = option("file", "FILE", "Where to write it [default: to print it]");
    Command::new("get")
        .about("Gets the document; its first line names its version, for `config put`")
        .arg(file.short('f'))
}

fn edit() -> Command {
    let set = option("set", "KEY=VALUE", "Sets an entry").action(ArgAction::Append);
    let unset = option("unset", "KEY", "Takes an entry out").action(ArgAction::Append);
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
                .help("Such as 'account wax-desk'"),
        )
        .args([set, unset, remove, add_flag(), reason_option()])
}

fn put() -> Command {
    Command::new("put")
        .about("Writes a document that was got with `config get` and edited")
        .args([file(), reason_option()])
}

fn diff() -> Command {
    Command::new("diff")
        .about("Shows what a file would change, or what changed since a version")
        .arg(
            Arg::new("file")
                .value_name("FILE")
                .help("An edited document"),
        )
        .arg(
            option(
                "since",
                "VERSION",
                "The version to compare the document with",
            )
            .value_parser(value_parser!(u64))
            .conflicts_with("file"),
        )
}

fn history() -> Command {
    let days = option("days", "NUMBER", "The days to look back, today among them")
        .value_parser(value_parser!(u32).range(1..=366))
        .default_value("7");
    let diff = Arg::new("diff")
        .long("diff")
        .action(ArgAction::SetTrue)
        .help("Shows what each change did");
    Command::new("history")
        .about("Lists the audit trail, the newest change first")
        .args([days, diff])
        .args([
            option("by", "NAME", "Changes of this author alone"),
            option("of", "TEAM", "Changes of this team alone"),
            option("section", "SECTION", "Changes of this section alone"),
            option("id", "ID", "The change with this identity alone"),
        ])
}

fn file() -> Arg {
    Arg::new("file").value_name("FILE").required(true)
}
