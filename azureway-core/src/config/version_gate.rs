//! The rule by which an entry takes over only newer, valid versions of the document.

use crate::domain::ConfigVersion;

/// Decides which versions of the document may come into force. Only versions newer than all judged
/// ones may, so that each is judged once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionGate {
    accepted: ConfigVersion,
    rejected: ConfigVersion,
}

impl VersionGate {
    /// Creates a gate that has judged no version.
    pub const fn new() -> Self {
        let (accepted, rejected) = (ConfigVersion::ZERO, ConfigVersion::ZERO);
        Self { accepted, rejected }
    }

    /// Returns whether `version` is newer than every version judged so far.
    pub fn is_newer(&self, version: ConfigVersion) -> bool {
        version > self.accepted.max(self.rejected)
    }

    /// Records that `version` is valid. A version older than the one in force has no effect.
    pub fn accept(&mut self, version: ConfigVersion) {
        self.accepted = self.accepted.max(version);
    }

    /// Records that `version` is invalid; the last valid one stays in force.
    pub fn reject(&mut self, version: ConfigVersion) {
        self.rejected = self.rejected.max(version);
    }

    /// Returns the version in force.
    pub const fn accepted(&self) -> ConfigVersion {
        self.accepted
    }

    /// Returns the newest judged version if it is invalid.
    pub fn rejected(&self) -> Option<ConfigVersion> {
        (self.rejected > self.accepted).then_some(self.rejected)
    }
}
