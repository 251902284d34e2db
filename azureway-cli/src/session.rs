//! Who uses the program, and the platform that it talks to.

use std::net::SocketAddr;
use std::time::{SystemTime, UNIX_EPOCH};

use anyhow::{Context, Result};
use azureway_core::config::{ChangeId, ChangeMetadata, ChangeTime, TeamId};
use azureway_objects::HttpObjects;
use clap::ArgMatches;

use crate::random;
use crate::store::DocumentStore;

/// Who uses the program, and the platform that it talks to.
#[derive(Clone, Debug)]
pub(crate) struct Session {
    platform: SocketAddr,
    author: String,
    team: TeamId,
}

/// The bytes of a change's identity.
const ID_BYTES: usize = 12;

impl Session {
    /// Reads the options that every command has.
    pub(crate) fn new(matches: &ArgMatches) -> Result<Self> {
        let text = |name| matches.get_one::<String>(name).map(String::as_str);
        let platform = *matches
            .get_one("platform")
            .context("name the platform with --platform or AZUREWAY_PLATFORM")?;
        Ok(Self {
            platform,
            author: text("author").map_or_else(user_name, str::to_owned),
            team: TeamId::new(text("team").unwrap_or(TeamId::DEFAULT)),
        })
    }

    pub(crate) const fn team(&self) -> &TeamId {
        &self.team
    }

    /// Returns the document's store.
    pub(crate) fn store(&self) -> DocumentStore<HttpObjects> {
        DocumentStore::new(HttpObjects::new(self.platform))
    }

    /// Draws the identity of a new change and notes who makes it.
    pub(crate) fn new_metadata(&self, reason: &str) -> Result<ChangeMetadata> {
        let id = random::hex::<ID_BYTES>().context("draw the identity of the change")?;
        let (id, team) = (ChangeId::new(&id), self.team.clone());
        Ok(ChangeMetadata::new(id, &self.author, team, now()).with_reason(reason))
    }
}

/// Returns the name of the operating system's user.
fn user_name() -> String {
    std::env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

/// Returns the time by the system's clock.
pub(crate) fn now() -> ChangeTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    ChangeTime::new(since.unwrap_or_default().as_secs())
}
