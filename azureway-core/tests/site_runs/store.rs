//! The platform's store, as a small fake.

use std::collections::BTreeMap;

use azureway_core::prelude::*;

/// The platform's store: the configuration, the list of replicas and the named weights.
#[derive(Debug)]
pub struct Store {
    pub document: SiteDocument,
    pub entries: BTreeMap<ServerId, ListedServer>,
    /// The newest weights, and when they were named.
    pub named: (WeightsVersion, Timestamp),
    /// Since when each replica has been listed as leaving.
    pub leaving: BTreeMap<ServerId, Timestamp>,
    /// Whether it is away for all.
    pub away: bool,
}

/// The service of every run.
pub const SERVICE: &str = "advice";
/// Its model.
pub const MODEL: &str = "m";

impl Store {
    /// Creates a store with a first configuration and weights named long ago.
    pub fn new() -> Self {
        let mut walled = ClientAccount::new(AccountId::new("walled"));
        walled.isolated = true;
        Self {
            document: SiteDocument {
                version: ConfigVersion::new(1),
                services: vec![SiteService {
                    id: ServiceId::new(SERVICE),
                    model: Some(ModelId::new(MODEL)),
                    peer_fetch: true,
                    store: None,
                }],
                accounts: vec![
                    ClientAccount::new(AccountId::new("open")),
                    ClientAccount::new(AccountId::new("other")),
                    walled,
                ],
                ..SiteDocument::default()
            },
            entries: BTreeMap::new(),
            named: (WeightsVersion::new(1), Timestamp::ZERO),
            leaving: BTreeMap::new(),
            away: false,
        }
    }

    /// Notes that a replica is about to leave.
    pub fn leave(&mut self, id: &ServerId, now: Timestamp) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.leaving = true;
            self.leaving.entry(id.clone()).or_insert(now);
        }
    }
}
