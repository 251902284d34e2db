//! When old claims are deleted.

use std::time::Duration;

use crate::domain::Timestamp;

/// When old claims are deleted: one shard after the other, and slowly, so that a sweep takes
/// little of the platform's rate.
#[derive(Clone, Debug)]
pub struct ClaimSweep {
    shard: u8,
    due: Timestamp,
}

/// How long a claim is kept.
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// The shards that claims are stored in.
const SHARDS: u32 = 256;
/// The sweeps of all shards in the time that a claim is kept.
const SWEEPS: u32 = 4;
/// The time between two deletions: 20 a second, a small part of several hundred writes.
const DELETE_GAP: Duration = Duration::from_millis(50);

impl ClaimSweep {
    /// Creates a sweep that begins with `shard` at `now`.
    pub const fn new(shard: u8, now: Timestamp) -> Self {
        Self { shard, due: now }
    }

    /// Returns when the next call may be made.
    pub const fn due(&self) -> Timestamp {
        self.due
    }

    /// Returns the shard that is swept.
    pub const fn shard(&self) -> u8 {
        self.shard
    }

    /// Notes a deletion at `now`.
    pub fn deleted(&mut self, now: Timestamp) {
        self.due = now + DELETE_GAP;
    }

    /// Notes that the shard holds no old claim any more, or could not be read.
    pub fn finish(&mut self, now: Timestamp) {
        self.shard = self.shard.wrapping_add(1);
        self.due = now + RETENTION / SHARDS / SWEEPS;
    }

    /// Tells whether a claim that was made at `made` is old at `now`, both in seconds of the
    /// Unix epoch.
    pub const fn is_old(made: u64, now: u64) -> bool {
        made.saturating_add(RETENTION.as_secs()) < now
    }
}
