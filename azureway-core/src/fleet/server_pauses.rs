//! The holds on backend servers that asked this entry for a pause.

use smallvec::SmallVec;

use super::{Health, PauseNotice, ServerState, ServerTable};
use crate::domain::{PoolId, Timestamp};

impl ServerTable {
    /// Holds a server that asked this entry for a pause.
    pub fn apply_pause(&mut self, notice: &PauseNotice, now: Timestamp) {
        self.gone_holds.retain(|_, (_, hold)| hold.holds(now));
        let Some(state) = self.get_mut(&notice.server) else {
            return;
        };
        let (known, held) = (state.incarnation, state.pause.holds(now));
        if state.pause.apply(notice, known, now) {
            let until = state.pause.until();
            self.last_pause = self.last_pause.max(until);
            self.pauses += u64::from(!held);
        }
    }

    /// Returns whether any server may be held after a pause that it asked for.
    pub fn has_pauses(&self, now: Timestamp) -> bool {
        now < self.last_pause
    }

    /// Returns when the first server of a pool is used again if every one that is not leaving is held
    /// after a pause that it asked for.
    pub fn pause_end(&self, pool: &PoolId, now: Timestamp) -> Option<Timestamp> {
        if !self.has_pauses(now) {
            return None;
        }
        let staying = |s: &&ServerState| s.health() != Health::Leaving;
        let servers = self.in_pool(pool).filter(staying);
        let ends = servers.map(|s| s.pause.holds(now).then(|| s.pause.next_request(0, 1)));
        let ends: Option<SmallVec<[Timestamp; 16]>> = ends.collect();
        ends?.into_iter().min()
    }

    /// Returns the number of holds that began since the start.
    pub const fn pauses(&self) -> u64 {
        self.pauses
    }
}
