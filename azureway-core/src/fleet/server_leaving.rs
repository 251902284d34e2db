//! Keeps requests from backend servers that have announced that they leave.

use super::{LeavingCause, LeavingMarks, LoadReport, ServerState, ServerTable};
use crate::domain::{Incarnation, PoolId, ServerId, Timestamp};
use crate::member::{ServerStatus, ServerUpdate};

impl ServerTable {
    /// Applies an update about a server from another entry. It counts for that incarnation, also if
    /// the server is not listed yet. Returns whether it changed anything.
    pub fn apply_update(&mut self, update: &ServerUpdate, now: Timestamp) -> bool {
        self.apply_leaving(update, LeavingCause::Peer, now)
    }

    /// Applies what a server said of itself with an answer to this entry. Returns whether it is news.
    pub fn apply_announcement(&mut self, update: &ServerUpdate, now: Timestamp) -> bool {
        self.apply_leaving(update, LeavingCause::Answer, now)
    }

    /// Ends the announcements whose time has passed. Returns whether there were any.
    pub fn expire_leaving(&mut self, now: Timestamp) -> bool {
        let expired = self.marks.expire(now);
        for id in &expired {
            self.sync_mark(id);
        }
        !expired.is_empty()
    }

    /// Returns whether the pool has servers and all of them are known to leave, by their own words or
    /// by the configuration, which includes the list of a site. A mark that an operator set in the
    /// list of instances does not count: it may be withdrawn.
    pub fn all_leave(&self, pool: &PoolId) -> bool {
        let mut servers = self.in_pool(pool).peekable();
        let leaves = |s: &ServerState| s.server.leaving || s.is_leaving();
        servers.peek().is_some() && servers.all(leaves)
    }

    /// Returns the announcements of servers that they leave.
    pub const fn leaving_marks(&self) -> &LeavingMarks {
        &self.marks
    }

    /// Returns the announcements of servers for modification.
    pub fn leaving_marks_mut(&mut self) -> &mut LeavingMarks {
        &mut self.marks
    }

    /// Ends an announcement that a report contradicts: one of an earlier incarnation, or one that this
    /// entry has from another. What a server itself told this entry stands, since a report may be
    /// older.
    pub(super) fn check_mark(&mut self, report: &LoadReport) {
        let Some(mark) = self.marks.get(&report.server).copied() else {
            return;
        };
        let heard = mark.cause == LeavingCause::Peer;
        let contradicts = heard && !report.leaving && report.incarnation == mark.incarnation;
        if report.incarnation > mark.incarnation {
            self.marks.remove(&report.server, LeavingCause::Restart);
        } else if contradicts {
            self.marks.remove(&report.server, LeavingCause::Report);
        }
        self.sync_mark(&report.server);
    }

    /// Ends the announcement of a server if a later incarnation is known.
    pub(super) fn end_earlier_mark(&mut self, id: &ServerId, known: Incarnation) {
        if self.marks.get(id).is_some_and(|m| m.incarnation < known) {
            self.marks.remove(id, LeavingCause::Restart);
        }
    }

    fn apply_leaving(
        &mut self,
        update: &ServerUpdate,
        cause: LeavingCause,
        now: Timestamp,
    ) -> bool {
        let known = self.get(&update.server).map(|s| s.incarnation);
        let outdated = known.is_some_and(|k| update.incarnation < k);
        if update.status != ServerStatus::Leaving || outdated {
            return false;
        }
        let news = self
            .marks
            .add(&update.server, update.incarnation, cause, now);
        self.sync_mark(&update.server);
        news
    }

    /// Tells the state of a server whether it is believed to leave.
    fn sync_mark(&mut self, id: &ServerId) {
        let Some(index) = self.positions.get(id) else {
            return;
        };
        let state = &mut self.servers[*index];
        state.set_announced(self.marks.is_active(id, state.incarnation));
    }
}
