//! The part of a backend server's slots that this entry may fill.

use std::time::Duration;

use super::LoadReport;
use crate::domain::Timestamp;

/// How long a report bounds the share. After it the entry falls back to an equal part.
const REPORT_LIFE: Duration = Duration::from_secs(2);
/// How long nothing is sent to a server that refused for lack of room.
const PAUSE: Duration = Duration::from_millis(100);

/// The part of a backend server's slots that this entry may fill.
///
/// Entries that share a server agree without messages: each starts with an equal part and
/// adapts it to what the server says. Free slots are divided by the number of entries, an
/// entry below its equal part may always grow to it, and one above gives back what the
/// others have taken. After a refusal for lack of room the entry sends
/// nothing for a moment.
#[derive(Clone, Copy, Debug)]
pub struct SlotShare {
    slots: u32,
    entries: u32,
    bound: u32,
    own: u32,
    heard: Option<Timestamp>,
    paused: Option<Timestamp>,
}

impl SlotShare {
    /// Creates the equal part of `slots` slots for one of `entries` entries.
    pub fn new(slots: u32, entries: u32) -> Self {
        let mut share = Self {
            slots,
            entries: entries.max(1),
            bound: 0,
            own: 0,
            heard: None,
            paused: None,
        };
        share.bound = share.equal();
        share
    }

    /// Takes over a changed number of slots or entries.
    pub fn resize(&mut self, slots: u32, entries: u32) {
        if (slots, entries) != (self.slots, self.entries) {
            *self = Self::new(slots, entries);
        }
    }

    /// Takes in a report. `own` is the number of this entry's requests there.
    pub fn apply_report(&mut self, report: &LoadReport, own: u32, now: Timestamp) {
        self.observe(report.running + report.queued, own, now);
    }

    /// Takes in the number of requests that the server runs or holds, from all entries.
    pub fn observe(&mut self, load: u32, own: u32, now: Timestamp) {
        // The number lags: what it holds of this entry is what was there when the last came.
        let others = load.saturating_sub(self.own);
        let free = self.slots.saturating_sub(own + others);
        self.heard = Some(now);
        self.own = own;
        // Where the server is overfilled, this leaves the others what they have.
        let own = own.min(self.slots.saturating_sub(others));
        let bound = own + free.div_ceil(self.entries);
        self.bound = bound.max(self.equal()).min(self.slots);
    }

    /// Notes that the server refused for lack of room while `in_flight` requests were there.
    pub fn refused(&mut self, in_flight: u32, now: Timestamp) {
        self.bound = self.bound.min(in_flight.max(1));
        self.paused = Some(now + PAUSE);
    }

    /// Notes a good end while `in_flight` requests are left. Without reports it is the only
    /// sign that the server takes more.
    pub fn answered(&mut self, in_flight: u32, now: Timestamp) {
        if !self.is_fresh(now) && in_flight + 1 >= self.bound {
            self.bound = (self.bound + 1).min(self.slots);
        }
    }

    /// Tells whether this entry may add to the `in_flight` requests that it has there, up to
    /// `over` beyond its part but never beyond the slots.
    pub fn allows(&self, in_flight: u32, over: u32, now: Timestamp) -> bool {
        let bound = (self.bound(now) + over).min(self.slots);
        self.paused.is_none_or(|end| end < now) && in_flight < bound
    }

    /// Returns the end of the pause after the last refusal.
    pub const fn paused(&self) -> Option<Timestamp> {
        self.paused
    }

    /// Returns the requests that this entry may have there at once.
    pub fn bound(&self, now: Timestamp) -> u32 {
        if self.heard.is_some() && !self.is_fresh(now) {
            self.bound.max(self.equal())
        } else {
            self.bound
        }
    }

    /// Returns the number of entries that share the server.
    pub const fn entries(&self) -> u32 {
        self.entries
    }

    fn equal(&self) -> u32 {
        self.slots.div_ceil(self.entries)
    }

    fn is_fresh(&self, now: Timestamp) -> bool {
        self.heard.is_some_and(|at| now.since(at) < REPORT_LIFE)
    }
}
