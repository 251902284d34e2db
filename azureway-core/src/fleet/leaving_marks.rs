//! Remembers which incarnations of backend servers have announced that they leave.

use std::collections::BTreeMap;

use super::{LeavingCause, LeavingChange, LeavingMark};
use crate::domain::{Incarnation, ServerId, Timestamp};

/// The backend servers that have announced that they leave, whether or not they are listed now.
///
/// They are kept apart from the states of the listed servers: a list that is older than an
/// announcement, and a server that is listed again, must not undo it.
#[derive(Clone, Debug, Default)]
pub struct LeavingMarks {
    items: BTreeMap<ServerId, LeavingMark>,
    changes: Vec<LeavingChange>,
    announced: u64,
    next_expiry: Option<Timestamp>,
}

/// The largest number of servers that are remembered, and of changes that wait to be logged.
const ITEMS_MAX: usize = 1_024;

impl LeavingMarks {
    /// Adds an announcement that this entry learnt of by `cause` at `now`. Returns whether the
    /// server was not believed to leave before.
    ///
    /// Only answers of the server itself renew a mark.
    pub fn add(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        cause: LeavingCause,
        now: Timestamp,
    ) -> bool {
        let old = self.items.get(server).copied();
        let old = old.filter(|m| m.incarnation >= incarnation);
        let renewed =
            |m: &LeavingMark| m.incarnation == incarnation && cause == LeavingCause::Answer;
        if old.is_some_and(|m| !renewed(&m)) {
            return false;
        }
        self.make_room(server);
        let mark = LeavingMark::new(incarnation, cause, now);
        self.items.insert(server.clone(), mark);
        self.update_expiry();
        self.announced += u64::from(old.is_none());
        let began = old.is_none_or(|m| !m.active);
        if began {
            self.record(server, incarnation, cause, true);
        }
        began
    }

    /// Ends the mark of a server for `cause`.
    pub fn remove(&mut self, server: &ServerId, cause: LeavingCause) {
        if let Some(mark) = self.items.remove(server) {
            self.update_expiry();
            if mark.active {
                self.record(server, mark.incarnation, cause, false);
            }
        }
    }

    /// Returns the mark of a server, lapsed or not.
    pub fn get(&self, server: &ServerId) -> Option<&LeavingMark> {
        self.items.get(server)
    }

    /// Returns whether a server with `incarnation` is believed to leave.
    pub fn is_active(&self, server: &ServerId, incarnation: Incarnation) -> bool {
        let mark = self.items.get(server);
        mark.is_some_and(|m| m.active && m.incarnation >= incarnation)
    }

    /// Ends the marks whose time has passed, and returns their servers.
    pub fn expire(&mut self, now: Timestamp) -> Vec<ServerId> {
        if self.next_expiry.is_none_or(|t| t > now) {
            return Vec::new();
        }
        let due = |m: &LeavingMark| m.active && m.until <= now;
        let expired = self.items.iter_mut().filter(|(_, m)| due(m));
        let expired: Vec<_> = expired
            .map(|(server, mark)| {
                mark.active = false;
                (server.clone(), mark.incarnation)
            })
            .collect();
        self.update_expiry();
        for (server, incarnation) in &expired {
            self.record(server, *incarnation, LeavingCause::Timeout, false);
        }
        expired.into_iter().map(|(server, _)| server).collect()
    }

    /// Returns when the next mark lapses.
    pub const fn next_expiry(&self) -> Option<Timestamp> {
        self.next_expiry
    }

    /// Returns the number of incarnations of servers that have announced their leaving.
    pub const fn announced(&self) -> u64 {
        self.announced
    }

    /// Removes and returns the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<LeavingChange> {
        std::mem::take(&mut self.changes)
    }

    /// Removes the mark that lapses first if there is no room for one more.
    fn make_room(&mut self, server: &ServerId) {
        if self.items.len() < ITEMS_MAX || self.items.contains_key(server) {
            return;
        }
        let oldest = self.items.iter().min_by_key(|(_, m)| m.until);
        if let Some(oldest) = oldest.map(|(s, _)| s.clone()) {
            self.items.remove(&oldest);
        }
    }

    fn update_expiry(&mut self) {
        let active = self.items.values().filter(|m| m.active);
        self.next_expiry = active.map(|m| m.until).min();
    }

    fn record(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        cause: LeavingCause,
        began: bool,
    ) {
        if self.changes.len() < ITEMS_MAX {
            let server = server.clone();
            self.changes.push(LeavingChange {
                server,
                incarnation,
                cause,
                began,
            });
        }
    }
}
