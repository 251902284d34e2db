//! The fake store that the entries and servers of a site run share.

use std::collections::BTreeMap;

use azureway_core::prelude::*;

/// A fake of the platform's store: the configuration, the list of backend servers and the named
/// weights.
#[derive(Debug)]
pub struct Store {
    pub document: SiteDocument,
    pub servers: BTreeMap<ServerId, ListedServer>,
    /// The newest weights version and the time when it was named.
    pub named: (WeightsVersion, Timestamp),
    /// The time when the isolation of an account last changed.
    pub isolated: Timestamp,
    /// For each server that is leaving, the time when the list first showed it as leaving.
    pub leaving: BTreeMap<ServerId, Timestamp>,
    /// Whether the store is unavailable to all entries and servers.
    pub unavailable: bool,
}

/// The service that every run uses.
pub const SERVICE: &str = "advice";
/// The model of [`SERVICE`].
pub const MODEL: &str = "m";

impl Store {
    /// Creates a store with an initial configuration, no servers, and weights version 1 named at time
    /// zero.
    pub fn new() -> Self {
        let mut isolated = ClientAccount::new(AccountId::new("walled"));
        isolated.isolated = true;
        Self {
            document: SiteDocument {
                version: ConfigVersion::new(1),
                services: vec![SiteService {
                    feed_limit: None,
                    capacity: None,
                    id: ServiceId::new(SERVICE),
                    model: Some(ModelId::new(MODEL)),
                    peer_fetch: true,
                    store: None,
                }],
                accounts: vec![
                    ClientAccount::new(AccountId::new("open")),
                    ClientAccount::new(AccountId::new("other")),
                    isolated,
                ],
                ..SiteDocument::default()
            },
            servers: BTreeMap::new(),
            named: (WeightsVersion::new(1), Timestamp::ZERO),
            isolated: Timestamp::ZERO,
            leaving: BTreeMap::new(),
            unavailable: false,
        }
    }

    /// Isolates an account, or ends its isolation, in a new version of the configuration. The last
    /// account stays isolated.
    pub fn toggle_isolated(&mut self, account: usize, now: Timestamp) {
        if account + 1 < self.document.accounts.len() && !self.unavailable {
            let account = &mut self.document.accounts[account];
            account.isolated = !account.isolated;
            self.document.version = self.document.version.next();
            self.isolated = now;
        }
    }

    /// Marks a server as leaving in the list.
    pub fn mark_leaving(&mut self, id: &ServerId, now: Timestamp) {
        if let Some(server) = self.servers.get_mut(id) {
            server.leaving = true;
            self.leaving.entry(id.clone()).or_insert(now);
        }
    }
}
