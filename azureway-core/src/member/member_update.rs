//! News of an instance.

use super::Liveness;
use crate::domain::Instance;

/// News of an instance: what is believed of one of its incarnations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MemberUpdate {
    /// The instance, with the incarnation that the news is about.
    pub instance: Instance,
    /// What is believed.
    pub liveness: Liveness,
}

impl MemberUpdate {
    /// Creates the news.
    pub const fn new(instance: Instance, liveness: Liveness) -> Self {
        Self { instance, liveness }
    }

    /// Tells whether this news replaces `old` about the same instance: a greater
    /// incarnation does, and at the same one a greater liveness.
    pub fn replaces(&self, old: &Self) -> bool {
        (self.instance.incarnation, self.liveness) > (old.instance.incarnation, old.liveness)
    }
}
