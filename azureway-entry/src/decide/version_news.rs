//! Who waits for a version, and which version is bad.

use azureway_core::prelude::ConfigVersion;
use flume::Sender;

/// Who waits for a version of the configuration to be in force, and which newer one is bad.
#[derive(Debug, Default)]
pub struct VersionNews {
    rejected: Option<ConfigVersion>,
    waiters: Vec<(ConfigVersion, Sender<()>)>,
}

impl VersionNews {
    /// Creates news of which nobody waits.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the bad version that is newer than the one in force.
    pub const fn rejected(&self) -> Option<ConfigVersion> {
        self.rejected
    }

    /// Notes a bad version.
    pub fn reject(&mut self, version: ConfigVersion) {
        self.rejected = Some(version);
    }

    /// Tells `reply` once `wanted` or a later version is in force.
    pub fn wait(&mut self, wanted: ConfigVersion, reply: Sender<()>, current: ConfigVersion) {
        self.waiters.push((wanted, reply));
        self.adopt(current);
    }

    /// Notes the version in force, and tells those who waited for it.
    pub fn adopt(&mut self, current: ConfigVersion) {
        self.rejected = self.rejected.filter(|v| *v > current);
        let reached = |(wanted, _): &mut (ConfigVersion, Sender<()>)| *wanted <= current;
        for (_, reply) in self.waiters.extract_if(.., reached) {
            let _ = reply.try_send(());
        }
    }
}
