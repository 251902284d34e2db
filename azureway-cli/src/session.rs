//! Reads the options that all commands share: who the operator is and where the platform is.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use azureway_core::config::{ChangeId, ChangeMetadata, ChangeTime, TeamId};
use azureway_objects::HttpObjects;
use clap::ArgMatches;

use crate::random;
use crate::store::DocumentStore;

/// The operator's identity and the address of the platform.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    platform: SocketAddr,
    author: String,
    team: TeamId,
}

/// The length of a change ID in bytes.
const ID_BYTES: usize = 12;

impl Session {
    /// Reads the options that every command accepts. The author defaults to the system user, the
    /// team to the operators.
    pub(crate) fn new(matches: &ArgMatches) -> Result<Self> {
        let option = |name| matches.get_one::<String>(name).map(String::as_str);
        let platform = *matches
            .get_one("platform")
            .context("no platform given; use --platform or AZUREWAY_PLATFORM")?;
        Ok(Self {
            platform,
            author: option("author").map_or_else(user_name, str::to_owned),
            team: TeamId::new(option("team").unwrap_or(TeamId::DEFAULT)),
        })
    }

    pub(crate) const fn team(&self) -> &TeamId {
        &self.team
    }

    /// Returns the store of the document.
    pub(crate) fn store(&self) -> DocumentStore<HttpObjects> {
        DocumentStore::new(HttpObjects::new(self.platform))
    }

    /// Returns the metadata of a new change: a random ID, the operator, the current time and the
    /// reason.
    pub(crate) fn new_metadata(&self, reason: &str) -> Result<ChangeMetadata> {
        let id = random::hex::<ID_BYTES>().context("generate a change ID")?;
        let (id, team) = (ChangeId::new(&id), self.team.clone());
        Ok(ChangeMetadata::new(id, &self.author, team, now()).with_reason(reason))
    }
}

/// Returns the name of the system user, from the environment variable `USER`.
fn user_name() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

/// Returns the time of the system clock.
pub(crate) fn now() -> ChangeTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    ChangeTime::new(since.unwrap_or_default().as_secs())
}
