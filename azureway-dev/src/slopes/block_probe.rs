//! Measures for the scaling table how the cache index grows with the cached blocks.

use azureway_core::prelude::*;

use super::probe::{Probe, mean_nanos};
use super::{Heap, Sample};
use crate::bench::RouterFixture;

/// Measures the memory of the cache index and the time to apply a cache event by the number of
/// cached blocks.
#[derive(Clone, Copy, Debug)]
pub struct BlockProbe;

/// The number of timed events.
const EVENTS: u32 = 10_000;
/// The number of events in one cache update.
const BATCH: u64 = 100;

impl BlockProbe {
    /// Creates an index with the first `size` blocks cached at server 0, up to a full last update.
    pub fn index(size: u64) -> CacheIndex {
        let bound = usize::try_from(size).unwrap_or(usize::MAX);
        let mut index = CacheIndex::new().with_bound(bound);
        let server = RouterFixture::server_id(0);
        for first in (0..size).step_by(BATCH as usize) {
            add_batch(&mut index, &server, first);
        }
        index
    }
}

impl Probe for BlockProbe {
    const UNIT: &'static str = "cached block";
    const OPERATION: &'static str = "apply one cache event";
    const SIZES: [u64; 3] = [10_000, 100_000, 1_000_000];

    fn measure(size: u64) -> Sample {
        let heap = Heap::now();
        let mut index = Self::index(size);
        let memory = heap.growth();
        let server = RouterFixture::server_id(0);
        let batches = EVENTS / BATCH as u32;
        let time = mean_nanos(batches, |batch| {
            add_batch(&mut index, &server, size + u64::from(batch) * BATCH);
        });
        Sample {
            size,
            memory,
            message: 0,
            time: time / BATCH as f64,
        }
    }
}

/// Applies one update that stores `BATCH` blocks, numbered from `first`.
fn add_batch(index: &mut CacheIndex, server: &ServerId, first: u64) {
    let keys = (first..first + BATCH).map(|n| BlockKey::new(u128::from(n)));
    let ops: Vec<CacheOp> = keys.map(CacheOp::Stored).collect();
    index.update(&CacheUpdate {
        server,
        incarnation: Incarnation::new(1),
        first,
        snapshot: false,
        ops: &ops,
    });
}
