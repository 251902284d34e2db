//! The command `account list`.

use std::io::Write;

use anyhow::Result;
use azureway_config::document;
use azureway_core::config::Sections;
use clap::ArgMatches;

use crate::printer::Printer;
use crate::report::{AccountReport, ReportList};
use crate::session::Session;
use crate::{Exit, Failure};

/// Lists the client accounts.
pub(super) fn run<W: Write>(matches: &ArgMatches, mut printer: Printer<W>) -> Result<Exit> {
    let current = Session::new(matches)?.store().read()?;
    let fleet = document::parse(&current.text, current.version)
        .map_err(|faults| Failure::new(Exit::Invalid, faults))?;
    let sections = Sections::parse(&current.text);
    let team = |name: &str| sections.get(&format!("account {name}")).map(|s| s.team());
    let accounts = fleet.accounts.values();
    let reports = accounts.map(|a| AccountReport::new(a, team(a.id.as_str()).unwrap_or_default()));
    printer.print(&ReportList(reports.collect()))?;
    Ok(Exit::Done)
}
