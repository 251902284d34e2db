//! The command lines of `status`, `explain` and `drain`.

use std::net::SocketAddr;

use clap::{Arg, ArgAction, ArgGroup, Command, value_parser};

use super::arguments::option;

/// Returns the commands on entry instances and backend servers.
pub(super) fn commands() -> [Command; 3] {
    [status(), explain(), drain()]
}

fn status() -> Command {
    let servers = Arg::new("servers")
        .long("servers")
        .action(ArgAction::SetTrue)
        .help("Shows every backend server, not only those that are not live");
    Command::new("status")
        .about(
            "Shows entry instances: configuration versions, queues, servers, outcomes of requests",
        )
        .args([entry(), operator_key(), servers])
}

fn explain() -> Command {
    Command::new("explain")
        .about("Shows where a request would be routed and why, without running it")
        .args([entry(), operator_key()])
        .args([
            option("account", "ACCOUNT", "The client account").required(true),
            option("rank", "RANK", "The rank of the request")
                .value_parser(["urgent", "drafting"])
                .default_value("urgent"),
            option(
                "service",
                "SERVICE",
                "The service of the request; needed with --message",
            ),
            option(
                "message",
                "TEXT",
                "A message of the prompt; the first one is the system message; may be repeated",
            )
            .action(ArgAction::Append)
            .requires("service"),
            option(
                "request",
                "FILE",
                "A file with a complete chat-completions request in JSON",
            ),
        ])
        .group(
            ArgGroup::new("prompt")
                .args(["message", "request"])
                .required(true),
        )
}

fn drain() -> Command {
    let server = option(
        "server",
        "SERVER",
        "Drains a backend server: it gets no new requests",
    )
    .requires("reason");
    let undo = Arg::new("undo")
        .long("undo")
        .action(ArgAction::SetTrue)
        .requires("server")
        .help("Ends the drain of the backend server");
    Command::new("drain")
        .about("Shuts down an entry instance or drains a backend server; no request is cut off")
        .args([entry(), operator_key(), server, undo])
        .arg(option("reason", "TEXT", "The reason, for the audit trail"))
}

fn entry() -> Arg {
    option(
        "entry",
        "ADDRESS",
        "The address of an entry instance's operators' interface; may be repeated",
    )
    .env("AZUREWAY_ENTRY")
    .value_delimiter(',')
    .action(ArgAction::Append)
    .value_parser(value_parser!(SocketAddr))
}

fn operator_key() -> Arg {
    option(
        "operator-key",
        "KEY",
        "The operators' key, if the instance requires one",
    )
    .env("AZUREWAY_OPERATOR_KEY")
    .hide_env_values(true)
}
