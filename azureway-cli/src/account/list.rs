//! `account list`.

use std::io::Write;

use anyhow::Result;
use azureway_config::document;
use azureway_core::config::Sections;
use clap::ArgMatches;

use crate::report::{AccountReport, List};
use crate::session::Session;
use crate::shell::Shell;
use crate::{Exit, Failure};

/// Lists the client accounts.
pub(super) fn run<W: Write>(matches: &ArgMatches, mut shell: Shell<W>) -> Result<Exit> {
    let current = Session::new(matches)?.store().read()?;
    let fleet = document::parse(&current.text, current.version)
        .map_err(|faults| Failure::new(Exit::Invalid, faults))?;
    let sections = Sections::parse(&current.text);
    let team = |name: &str| sections.get(&format!("account {name}")).map(|s| s.team());
    let accounts = fleet.accounts.values();
    let reports = accounts.map(|a| AccountReport::new(a, team(a.id.as_str()).unwrap_or_default()));
    shell.print(&List(reports.collect()))?;
    Ok(Exit::Done)
}
