//! Describes the system to start on loopback.

use azureway_core::prelude::KeyHash;

/// The layout of a system on loopback: its zones, the numbers of servers and entry instances in
/// each, and its client accounts.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The availability zones.
    pub zones: Vec<&'static str>,
    /// The number of model engines per zone.
    pub engines: usize,
    /// The number of entry instances per zone.
    pub entries: usize,
    /// The names of the client accounts with their API keys.
    pub accounts: Vec<(&'static str, &'static str)>,
    /// Whether the plain services deduplicate by idempotency key themselves.
    pub deduplicates: bool,
    /// The number of slots that the document gives each engine, if it sets one.
    pub slots: Option<u32>,
}

impl Layout {
    /// Creates the layout of three zones with three engines and two entry instances each.
    pub fn new() -> Self {
        Self {
            zones: vec!["kranj-a", "maribor-a", "koper-a"],
            engines: 3,
            entries: 2,
            accounts: vec![
                ("wax-desk", "wax-desk-key"),
                ("shop-drafts", "shop-drafts-key"),
            ],
            deduplicates: false,
            slots: None,
        }
    }

    /// Sets the number of model engines per zone.
    #[must_use]
    pub const fn with_engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Sets the number of entry instances per zone.
    #[must_use]
    pub const fn with_entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Sets the number of slots that the document gives each engine.
    #[must_use]
    pub const fn with_slots(mut self, slots: u32) -> Self {
        self.slots = Some(slots);
        self
    }

    /// Makes the plain services deduplicate by idempotency key themselves.
    #[must_use]
    pub const fn with_deduplication(mut self) -> Self {
        self.deduplicates = true;
        self
    }

    /// Sets the availability zones.
    #[must_use]
    pub fn with_zones(mut self, zones: &[&'static str]) -> Self {
        self.zones = zones.to_vec();
        self
    }

    /// Returns the part of the configuration document that contains no addresses.
    pub fn document_head(&self) -> String {
        let mut text = String::from(
            "[pool engines]\nloads = 2\n[pool tills]\n\
             [service advice]\npool = engines\n\
             [service orders]\nkind = plain\npool = tills\ncalls = at-most-once\n",
        );
        for (name, key) in &self.accounts {
            text.push_str(&format!("[account {name}]\nkeys = {}\n", KeyHash::of(key)));
        }
        text
    }
}

impl Default for Layout {
    fn default() -> Self {
        Self::new()
    }
}
