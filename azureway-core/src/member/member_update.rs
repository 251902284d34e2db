//! The gossip update by which instances agree on the liveness of one of them.

use super::Liveness;
use crate::domain::Instance;

/// A gossip update about an instance: the liveness of one of its incarnations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The instance, with the incarnation that the update is about.
    pub instance: Instance,
    /// The liveness of that incarnation.
    pub liveness: Liveness,
}

impl MemberUpdate {
    /// Creates an update.
    pub const fn new(instance: Instance, liveness: Liveness) -> Self {
        Self { instance, liveness }
    }

    /// Returns whether this update replaces `old` about the same instance: a greater
    /// incarnation does, and for the same incarnation a greater liveness.
    pub fn replaces(&self, old: &Self) -> bool {
        (self.instance.incarnation, self.liveness) > (old.instance.incarnation, old.liveness)
    }
}
