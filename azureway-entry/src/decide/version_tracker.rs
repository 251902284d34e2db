//! Which configuration version is awaited and which was rejected, for queries and metrics.

use azureway_core::prelude::ConfigVersion;
use flume::Sender;

/// Tracks who waits for a configuration version to take effect, and which newer version was
/// rejected.
#[derive(Debug, Default)]
pub struct VersionTracker {
    rejected: Option<ConfigVersion>,
    waiters: Vec<(ConfigVersion, Sender<()>)>,
}

impl VersionTracker {
    /// Creates a tracker without waiters.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the rejected version, if it is newer than the one in effect.
    pub const fn rejected(&self) -> Option<ConfigVersion> {
        self.rejected
    }

    /// Records that a version was rejected as invalid.
    pub fn record_rejected(&mut self, version: ConfigVersion) {
        self.rejected = Some(version);
    }

    /// Signals `reply` as soon as `wanted` or a later version is in effect, which may be now.
    pub fn add_waiter(&mut self, wanted: ConfigVersion, reply: Sender<()>, current: ConfigVersion) {
        self.waiters.push((wanted, reply));
        self.set_current(current);
    }

    /// Records the version in effect, and signals those who waited for it.
    pub fn set_current(&mut self, current: ConfigVersion) {
        self.rejected = self.rejected.filter(|v| *v > current);
        let reached = |(wanted, _): &mut (ConfigVersion, Sender<()>)| *wanted <= current;
        for (_, reply) in self.waiters.extract_if(.., reached) {
            let _ = reply.try_send(());
        }
    }
}
