//! What this entry reads of the platform, from which it answers the other entries of its zone.

use std::sync::{Mutex, MutexGuard, PoisonError};

use azureway_core::prelude::StoreEra;
use azureway_wire::object::ObjectList;
use tokio::sync::watch;

use super::{KindCache, ReadTimes, ZoneChanges, ZoneRequest};
use crate::clock::Clock;
use crate::site::SiteKind;

/// The objects of each kind, as this entry last read them from the platform, and a signal of each change.
#[derive(Debug)]
pub struct ZoneCache {
    kinds: [(Mutex<KindCache>, watch::Sender<()>); SiteKind::ALL.len()],
    clock: Clock,
}

impl ZoneCache {
    /// Creates an empty cache.
    pub fn new(clock: Clock) -> Self {
        Self {
            kinds: std::array::from_fn(|_| (Mutex::default(), watch::Sender::new(()))),
            clock,
        }
    }

    /// Sets the largest size of all values of a kind that are kept, in bytes.
    #[must_use]
    pub fn with_max_size(mut self, bytes: usize) -> Self {
        self.kinds = std::array::from_fn(|_| {
            let cache = Mutex::new(KindCache::new(bytes));
            (cache, watch::Sender::new(()))
        });
        self
    }

    /// Records an answer of the platform, as [`KindCache::record`] does.
    pub fn record(
        &self,
        kind: SiteKind,
        era: Option<StoreEra>,
        after: Option<u64>,
        list: &ObjectList,
        times: ReadTimes,
    ) {
        self.lock(kind).record(era, after, list, times);
        self.kinds[kind as usize].1.send_replace(());
    }

    /// Waits for the changes that a peer requests. Returns `None` if this entry does not know them, or has
    /// not heard from the platform for too long.
    pub async fn wait(&self, request: &ZoneRequest) -> Option<ZoneChanges> {
        let received = self.clock.now();
        let mut signal = self.kinds[request.kind as usize].1.subscribe();
        loop {
            let now = self.clock.now();
            let (list, whole, since, times) = {
                let known = self.lock(request.kind);
                let (list, whole) = match known.changes(request.era, request.after) {
                    None if request.lost => (known.all(request.era, request.after)?, true),
                    changes => (changes?, false),
                };
                (list, whole, known.since(request.after), known.times())
            };
            let overdue = times.until + request.kind.relay_limit();
            if now > overdue {
                return None;
            }
            let end = received + request.wait;
            if whole || !list.objects.is_empty() || now >= end {
                return Some(ZoneChanges {
                    list,
                    whole,
                    age: now.since(times.until),
                    held: now.since(received),
                    changed: since.map(|at| now.since(at)),
                    recovered: times.recovered.map(|at| now.since(at)),
                });
            }
            let wakeup = tokio::time::Instant::from_std(self.clock.instant(end.min(overdue)));
            // Both the signal and the end of the wait lead to another look at the cache.
            let _ = tokio::time::timeout_at(wakeup, signal.changed()).await;
        }
    }

    fn lock(&self, kind: SiteKind) -> MutexGuard<'_, KindCache> {
        // The cache is whole even if a thread panicked while it held the lock: it is filled again
        // with the next answer.
        let cache = self.kinds[kind as usize].0.lock();
        cache.unwrap_or_else(PoisonError::into_inner)
    }
}
