//! Spreads the deletion of old claims over time and shards.

use std::time::Duration;

use crate::domain::Timestamp;

/// The schedule by which old claims are deleted.
///
/// A sweep visits one shard after the other, slowly, so that it takes up little of the
/// platform's rate limit.
#[derive(Clone, Debug)]
pub struct ClaimSweep {
    shard: u8,
    due: Timestamp,
}

/// The time for which a claim is kept.
const RETENTION: Duration = Duration::from_secs(24 * 60 * 60);
/// The number of shards that store claims.
const SHARDS: u32 = 256;
/// The number of sweeps over all shards within the retention time.
const SWEEPS_PER_RETENTION: u32 = 4;
/// The time between two deletions. The resulting 20 deletions per second are a small part of the
/// several hundred writes per second that the platform takes.
const DELETE_GAP: Duration = Duration::from_millis(50);

impl ClaimSweep {
    /// Creates a sweep that begins with `shard` at `now`.
    pub const fn new(shard: u8, now: Timestamp) -> Self {
        Self { shard, due: now }
    }

    /// Returns the time at which the next call may be made.
    pub const fn due(&self) -> Timestamp {
        self.due
    }

    /// Returns the shard that is being swept.
    pub const fn shard(&self) -> u8 {
        self.shard
    }

    /// Records a deletion at `now`.
    pub fn deleted(&mut self, now: Timestamp) {
        self.due = now + DELETE_GAP;
    }

    /// Advances to the next shard, after the last old claim of this one was deleted or if it could
    /// not be read.
    pub fn finish(&mut self, now: Timestamp) {
        self.shard = self.shard.wrapping_add(1);
        self.due = now + RETENTION / SHARDS / SWEEPS_PER_RETENTION;
    }

    /// Returns whether a claim that was created at `created` is old at `now`, both in seconds since
    /// the Unix epoch.
    pub const fn is_old(created: u64, now: u64) -> bool {
        created.saturating_add(RETENTION.as_secs()) < now
    }
}
