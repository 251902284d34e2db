//! The command `status`, which reads the entry instances and the leases in the platform.

use std::io::Write;
use std::net::SocketAddr;

use anyhow::{Context, Result};
use azureway_objects::{HttpObjects, ObjectApi};
use azureway_wire::order::LEASE_KIND;
use clap::ArgMatches;

use super::clients;
use crate::Exit;
use crate::printer::Printer;
use crate::report::{LeaseReport, StatusReport, SystemReport};

/// Prints the state of the entry instances that the command names, including those that do not
/// answer.
pub(super) fn run<W: Write>(matches: &ArgMatches, mut printer: Printer<W>) -> Result<Exit> {
    let (mut reports, mut exit) = (Vec::new(), Exit::Done);
    for client in clients(matches)? {
        let status = client.status();
        if status.is_err() {
            exit = Exit::Failed;
        }
        let servers = matches.get_flag("servers");
        reports.push(StatusReport::new(client.address(), status, servers));
    }
    let mut report = SystemReport::new(reports);
    match matches.get_one("platform").map(|p| read_leases(*p)) {
        Some(Ok(leases)) => report = report.with_leases(leases),
        Some(Err(e)) => {
            // The entry instances are shown all the same: operators inspect them during an outage
            // of the platform.
            report = report.with_error(e);
            exit = Exit::Failed;
        }
        None => {}
    }
    printer.print(&report)?;
    Ok(exit)
}

/// Reads the leases from the platform.
fn read_leases(platform: SocketAddr) -> Result<Vec<LeaseReport>> {
    let list = HttpObjects::new(platform).list(LEASE_KIND)?;
    let leases = list.objects.iter().map(|o| {
        let body = serde_json::from_str(&o.value);
        Ok(LeaseReport::new(&o.name, body.context("read lease")?))
    });
    leases.collect()
}
