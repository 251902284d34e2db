//! Dispatch of `status`, `explain` and `drain`, and the clients of the entry instances named.

mod drain;
mod entry_client;
mod explain;
mod status;

pub(crate) use entry_client::EntryClient;

use std::io::Write;

use anyhow::Result;
use clap::ArgMatches;

use crate::printer::Printer;
use crate::{Exit, Failure};

/// Runs a command on entry instances and backend servers.
pub(crate) fn run<W: Write>(name: &str, matches: &ArgMatches, printer: Printer<W>) -> Result<Exit> {
    match name {
        "status" => status::run(matches, printer),
        "explain" => explain::run(matches, printer),
        _ => drain::run(matches, printer),
    }
}

/// Returns a client for each entry instance that the command names.
fn clients(matches: &ArgMatches) -> Result<Vec<EntryClient>> {
    let key = matches.get_one::<String>("operator-key");
    let addresses = matches.get_many("entry").unwrap_or_default();
    let clients: Vec<_> = addresses
        .map(|a| EntryClient::new(*a, key.cloned()))
        .collect();
    if clients.is_empty() {
        let detail = "no entry instance given; use --entry or AZUREWAY_ENTRY";
        return Err(Failure::new(Exit::Usage, detail).into());
    }
    Ok(clients)
}
