//! The commands on entry instances.

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
        .help("Shows each backend server as the instance knows it");
    Command::new("status")
        .about("Shows entry instances: versions in force, queues, servers, ends of requests")
        .args([entry(), operator_key(), servers])
}

fn explain() -> Command {
    Command::new("explain")
        .about("Tells where a request would go and why, without running it")
        .args([entry(), operator_key()])
        .args([
            option("account", "ACCOUNT", "The client account").required(true),
            option("rank", "RANK", "The rank")
                .value_parser(["urgent", "drafting"])
                .default_value("urgent"),
            option("service", "SERVICE", "The service, with --message"),
            option(
                "message",
                "TEXT",
                "A message of the prompt; the first one is the system's",
            )
            .action(ArgAction::Append)
            .requires("service"),
            option(
                "request",
                "FILE",
                "A whole chat-completions request in JSON",
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
        "Takes a backend server out: it gets no new work",
    )
    .requires("reason");
    let undo = Arg::new("undo")
        .long("undo")
        .action(ArgAction::SetTrue)
        .requires("server")
        .help("Takes the backend server back in");
    Command::new("drain")
        .about("Shuts an entry instance down, or takes a backend server out, cutting no request")
        .args([entry(), operator_key(), server, undo])
        .arg(option("reason", "TEXT", "Why, for the audit trail"))
}

fn entry() -> Arg {
    option(
        "entry",
        "ADDRESS",
        "The operators' address of an entry instance; may be repeated",
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
        "The operators' key, where the instance asks for one",
    )
    .env("AZUREWAY_OPERATOR_KEY")
    .hide_env_values(true)
}
