//! Limits the requests that this entry sends to a backend server that other entries share.

use std::time::Duration;

use super::LoadReport;
use crate::domain::Timestamp;

/// The time after which a load figure is stale. A stale figure no longer keeps the share below
/// the equal share.
const REPORT_LIFETIME: Duration = Duration::from_secs(2);
/// The time for which this entry sends nothing to a server that rejected a request for lack of
/// capacity.
const REJECTION_PAUSE: Duration = Duration::from_millis(100);

/// The share of a backend server's slots that this entry may fill.
///
/// Entries share a server without exchanging messages: each starts with an equal share and
/// adapts it to the load that the server reports. Free slots are divided by the number of
/// entries. An entry below its equal share may always grow to it, and one above gives back the
/// slots that others have taken. After a rejection for lack of capacity, the entry pauses.
#[derive(Clone, Copy, Debug)]
pub struct SlotShare {
    slots: u32,
    entries: u32,
    limit: u32,
    /// This entry's requests at the time of the last load figure.
    own: u32,
    updated: Option<Timestamp>,
    paused: Option<Timestamp>,
}

impl SlotShare {
    /// Creates an equal share of `slots` slots for one of `entries` entries.
    pub fn new(slots: u32, entries: u32) -> Self {
        let mut share = Self {
            slots,
            entries: entries.max(1),
            limit: 0,
            own: 0,
            updated: None,
            paused: None,
        };
        share.limit = share.equal_share();
        share
    }

    /// Resets the share if the number of slots or entries has changed.
    pub fn resize(&mut self, slots: u32, entries: u32) {
        if (slots, entries) != (self.slots, self.entries) {
            *self = Self::new(slots, entries);
        }
    }

    /// Adapts the share to a load report. `own` is the number of this entry's requests there.
    pub fn apply_report(&mut self, report: &LoadReport, own: u32, now: Timestamp) {
        self.observe(report.running.saturating_add(report.queued), own, now);
    }

    /// Adapts the share to `load`, the requests running or queued at the server from all entries.
    /// `own` is the number of this entry's requests there.
    pub fn observe(&mut self, load: u32, own: u32, now: Timestamp) {
        // The load lags: it includes this entry's requests as of the previous load figure.
        let others = load.saturating_sub(self.own);
        let free = self.slots.saturating_sub(own.saturating_add(others));
        self.updated = Some(now);
        self.own = own;
        // If the server is over capacity, leaves the other entries the slots they hold.
        let own = own.min(self.slots.saturating_sub(others));
        let limit = own.saturating_add(free.div_ceil(self.entries));
        self.limit = limit.max(self.equal_share()).min(self.slots);
    }

    /// Records a rejection for lack of capacity while this entry had `in_flight` requests there.
    pub fn record_rejection(&mut self, in_flight: u32, now: Timestamp) {
        self.limit = self.limit.min(in_flight.max(1));
        self.paused = Some(now + REJECTION_PAUSE);
    }

    /// Records a success that leaves `in_flight` requests there. Without fresh load figures this
    /// is the only evidence that the server can take more.
    pub fn record_success(&mut self, in_flight: u32, now: Timestamp) {
        if !self.is_fresh(now) && in_flight + 1 >= self.limit {
            self.limit = self.limit.saturating_add(1).min(self.slots);
        }
    }

    /// Returns whether this entry may add to its `in_flight` requests there. It may exceed its
    /// share by `extra` requests, but never the slots of the server.
    pub fn allows(&self, in_flight: u32, extra: u32, now: Timestamp) -> bool {
        let limit = self.limit(now).saturating_add(extra).min(self.slots);
        self.paused.is_none_or(|end| end < now) && in_flight < limit
    }

    /// Returns the end of the pause after the last rejection.
    pub const fn paused(&self) -> Option<Timestamp> {
        self.paused
    }

    /// Returns the maximum number of requests that this entry may have there at once.
    pub fn limit(&self, now: Timestamp) -> u32 {
        if self.updated.is_some() && !self.is_fresh(now) {
            self.limit.max(self.equal_share())
        } else {
            self.limit
        }
    }

    /// Returns the number of entries that share the server.
    pub const fn entries(&self) -> u32 {
        self.entries
    }

    fn equal_share(&self) -> u32 {
        self.slots.div_ceil(self.entries)
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        self.updated
            .is_some_and(|at| now.since(at) < REPORT_LIFETIME)
    }
}
