//! The sync timers for the own zone and for other zones.

use super::SyncTimer;
use crate::domain::Instance;

/// The sync timers for peers of the own zone and for those of other zones. They are separate
/// because the views of other zones may differ while those of the own zone agree.
#[derive(Clone, Debug, Default)]
pub struct SyncTimers {
    local: SyncTimer,
    remote: SyncTimer,
}

impl SyncTimers {
    /// Creates the timers of an instance that has received no update yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requests a full sync from both groups of peers.
    pub const fn request(&mut self) {
        self.local.request();
        self.remote.request();
    }

    /// Returns the timer that `me` uses for `peer`.
    pub fn for_peer(&mut self, me: &Instance, peer: &Instance) -> &mut SyncTimer {
        if me.zone == peer.zone {
            &mut self.local
        } else {
            &mut self.remote
        }
    }
}
