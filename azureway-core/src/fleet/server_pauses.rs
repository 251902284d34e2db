//! The holds on backend servers that asked this entry for a pause.

use smallvec::SmallVec;

use super::{Health, PauseHold, PauseNotice, ServerState, ServerTable};
use crate::domain::{Incarnation, PoolId, ServerId, Timestamp};

impl ServerTable {
    /// Holds a server that asked this entry for a pause, also one that the configuration no longer
    /// has: it may be back before the pause ends.
    pub fn apply_pause(&mut self, notice: &PauseNotice, now: Timestamp) {
        let Some((hold, known)) = self.find_hold(&notice.server) else {
            return;
        };
        let held = hold.holds(now);
        if hold.apply(notice, known, now) {
            let until = hold.until();
            self.last_pause = self.last_pause.max(until);
            self.pauses += u64::from(!held);
        }
    }

    /// Returns the hold on a server that the configuration has or had, with the latest known
    /// incarnation.
    pub fn hold(&self, server: &ServerId) -> Option<(PauseHold, Incarnation)> {
        let listed = self.get(server).map(|s| (s.pause, s.incarnation));
        let gone = || self.gone.get(server).map(|s| (s.hold, s.incarnation));
        listed.or_else(gone)
    }

    fn find_hold(&mut self, server: &ServerId) -> Option<(&mut PauseHold, Incarnation)> {
        if let Some(position) = self.positions.get(server) {
            let state = &mut self.servers[*position];
            return Some((&mut state.pause, state.incarnation));
        }
        let gone = self.gone.get_mut(server)?;
        Some((&mut gone.hold, gone.incarnation))
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
