//! `status`.

use std::io::Write;

use anyhow::Result;
use clap::ArgMatches;

use super::clients;
use crate::Exit;
use crate::report::{List, StatusReport};
use crate::shell::Shell;

/// Shows the instances that the command names, those that do not answer among them.
pub(super) fn run<W: Write>(matches: &ArgMatches, mut shell: Shell<W>) -> Result<Exit> {
    let (mut reports, mut exit) = (Vec::new(), Exit::Done);
    for client in clients(matches)? {
        let status = client.status();
        if status.is_err() {
            exit = Exit::Failed;
        }
        let servers = matches.get_flag("servers");
        reports.push(StatusReport::new(client.address(), status, servers));
    }
    shell.print(&List(reports))?;
    Ok(exit)
}
