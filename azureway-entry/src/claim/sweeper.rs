//! Deletion of old claims at the platform, which the ordering duty drives.

use azureway_core::prelude::*;
use azureway_objects::ObjectApi;
use azureway_wire::claim::ClaimBody;
use azureway_wire::object::ObjectBody;

use super::kind::kind_of;

/// Deletes old claims, one call at a time. The entry instance that holds the lease of orders runs
/// it.
#[derive(Debug)]
pub struct Sweeper<A> {
    api: A,
    sweep: ClaimSweep,
    /// The names and versions of the old claims in the current shard.
    expired: Vec<(String, u64)>,
}

impl<A: ObjectApi> Sweeper<A> {
    /// Creates a sweeper. `seed` selects the first shard, so that entry instances begin at
    /// different ones.
    pub fn new(api: A, seed: u64) -> Self {
        let [first, ..] = seed.to_le_bytes();
        Self {
            api,
            sweep: ClaimSweep::new(first, Timestamp::ZERO),
            expired: Vec::new(),
        }
    }

    /// Returns the time at which the next call may be made.
    pub const fn due(&self) -> Timestamp {
        self.sweep.due()
    }

    /// Makes the next platform call, if it is due at `now`. `unix` is the current time in seconds
    /// since the Unix epoch.
    pub fn step(&mut self, now: Timestamp, unix: u64) {
        if now < self.sweep.due() {
            return;
        }
        let kind = kind_of(self.sweep.shard());
        if let Some((name, version)) = self.expired.pop() {
            // The delete fails if the claim has changed since it was listed. The next sweep lists
            // it again.
            let _ = self.api.delete(&kind, &name, version);
            self.sweep.deleted(now);
        } else if let Ok(list) = self.api.list(&kind) {
            let expired = list.objects.into_iter().filter(|o| is_old(o, unix));
            self.expired = expired.map(|o| (o.name, o.version)).collect();
        }
        if self.expired.is_empty() {
            self.sweep.finish(now);
        }
    }
}

fn is_old(object: &ObjectBody, unix: u64) -> bool {
    let body = serde_json::from_str::<ClaimBody>(&object.value);
    !object.deleted && body.is_ok_and(|b| ClaimSweep::is_old(b.made, unix))
}
