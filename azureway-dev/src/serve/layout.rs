//! What stands where.

use azureway_core::prelude::KeyHash;

/// What stands where: zones, and how many of each process in a zone.
#[derive(Clone, Debug)]
pub struct Layout {
    /// The availability zones.
    pub zones: Vec<&'static str>,
    /// The model engines of a zone.
    pub engines: usize,
    /// The entry instances of a zone.
    pub entries: usize,
    /// The client accounts with their API keys.
    pub accounts: Vec<(&'static str, &'static str)>,
    /// Whether the plain services check keys themselves.
    pub deduplicates: bool,
    /// The slots that the document gives a server, if it names any.
    pub slots: Option<u32>,
}

impl Layout {
    /// Creates the layout of three zones with three engines and two entries each.
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

    /// Sets the model engines of a zone.
    #[must_use]
    pub const fn with_engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Sets the entry instances of a zone.
    #[must_use]
    pub const fn with_entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Sets the slots that the document gives a server.
    #[must_use]
    pub const fn with_slots(mut self, slots: u32) -> Self {
        self.slots = Some(slots);
        self
    }

    /// Lets the plain services check keys themselves.
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

    /// Returns the part of the document that does not name addresses.
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
