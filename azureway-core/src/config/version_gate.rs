//! Which versions of the document may come into force.

use crate::domain::ConfigVersion;

/// Which versions may come into force: only ever newer ones, each judged once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct VersionGate {
    accepted: ConfigVersion,
    rejected: ConfigVersion,
}

impl VersionGate {
    /// Creates a gate that has seen no version.
    pub const fn new() -> Self {
        let (accepted, rejected) = (ConfigVersion::ZERO, ConfigVersion::ZERO);
        Self { accepted, rejected }
    }

    /// Tells whether `version` is newer than every one judged so far.
    pub fn is_newer(&self, version: ConfigVersion) -> bool {
        version > self.accepted.max(self.rejected)
    }

    /// Notes that a version is good. Older ones change nothing.
    pub fn accept(&mut self, version: ConfigVersion) {
        self.accepted = self.accepted.max(version);
    }

    /// Notes that a version is bad: the last good one stays in force.
    pub fn reject(&mut self, version: ConfigVersion) {
        self.rejected = self.rejected.max(version);
    }

    /// Returns the version in force.
    pub const fn accepted(&self) -> ConfigVersion {
        self.accepted
    }

    /// Returns the newest version, if it is a bad one.
    pub fn rejected(&self) -> Option<ConfigVersion> {
        (self.rejected > self.accepted).then_some(self.rejected)
    }
}
