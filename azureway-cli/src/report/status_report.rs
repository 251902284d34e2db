//! The output of `status` for one entry instance, which may not have answered.

use std::fmt;
use std::net::SocketAddr;

use azureway_core::prelude::Error;
use azureway_wire::admin::{ServerBody, StatusBody};
use serde::Serialize;

/// The state of an entry instance, or the error if it did not answer.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct StatusReport {
    entry: SocketAddr,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<StatusBody>,
    #[serde(skip)]
    servers: bool,
}

impl StatusReport {
    pub(crate) fn new(entry: SocketAddr, status: Result<StatusBody, Error>, servers: bool) -> Self {
        let error = status.as_ref().err().map(Error::to_string);
        let status = status.ok();
        Self {
            entry,
            error,
            status,
            servers,
        }
    }

    fn write_status(&self, f: &mut fmt::Formatter<'_>, status: &StatusBody) -> fmt::Result {
        let state = if status.draining {
            "draining"
        } else {
            "serving"
        };
        writeln!(
            f,
            "{}  zone {}  {state}  at {}",
            status.instance, status.zone, self.entry
        )?;
        write!(f, "  configuration  version {}", status.version)?;
        match status.rejected {
            Some(version) => writeln!(f, ", newer version {version} is bad")?,
            None => writeln!(f)?,
        }
        write_requests(f, status)?;
        write_outcomes(f, status)?;
        let live = status
            .servers
            .iter()
            .filter(|s| &*s.health == "live")
            .count();
        writeln!(
            f,
            "  backend servers  {live} of {} live",
            status.servers.len()
        )?;
        let shown = status.servers.iter();
        let mut shown = shown.filter(|s| self.servers || &*s.health != "live");
        shown.try_for_each(|server| write_server(f, server))
    }
}

fn write_requests(f: &mut fmt::Formatter<'_>, status: &StatusBody) -> fmt::Result {
    writeln!(
        f,
        "  requests  {} in flight, waiting: {} urgent, {} drafting, {} to be tried again",
        status.flights, status.urgent, status.drafting, status.retries
    )?;
    writeln!(
        f,
        "  retry budget {}  claims open {}  entries in the zone {}",
        status.budget, status.claims, status.entries
    )?;
    writeln!(
        f,
        "  crash suspects {}  quarantined {}",
        status.suspects, status.quarantined
    )?;
    writeln!(
        f,
        "  servers held for a pause {}  holds since the start {}",
        status.paused, status.pauses
    )?;
    writeln!(f, "  servers that announced leaving {}", status.announced)
}

fn write_outcomes(f: &mut fmt::Formatter<'_>, status: &StatusBody) -> fmt::Result {
    for count in status.counts.iter().filter(|c| c.requests > 0) {
        let (rank, kind, outcome) = (&count.rank, &count.kind, &count.outcome);
        let (requests, worth) = (count.requests, count.worth);
        writeln!(
            f,
            "  ended  {rank} {kind} {outcome}: {requests}, worth {worth}"
        )?;
    }
    Ok(())
}

fn write_server(f: &mut fmt::Formatter<'_>, server: &ServerBody) -> fmt::Result {
    let weights = server
        .weights
        .map_or("unknown".to_owned(), |w| w.to_string());
    writeln!(
        f,
        "    {}  {}  zone {}  {} of {} slots from here, load {}, {} tokens ahead, weights {weights}",
        server.name,
        server.health,
        server.zone,
        server.flights,
        server.slots,
        server.load,
        server.ahead
    )
}

impl fmt::Display for StatusReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (&self.status, &self.error) {
            (Some(status), _) => self.write_status(f, status),
            (None, error) => {
                let error = error.as_deref().unwrap_or_default();
                writeln!(f, "entry {} does not answer: {error}", self.entry)
            }
        }
    }
}
