//! Growth by cached blocks.

use azureway_core::prelude::*;

use super::probe::{Probe, time_of};
use super::{Heap, Sample};
use crate::bench::RouterFixture;

/// Growth by cached blocks: what the index keeps, and taking in an event.
#[derive(Clone, Copy, Debug)]
pub struct BlockProbe;

/// The events that are timed.
const EVENTS: u32 = 10_000;
/// The events of a run.
const RUN: u64 = 100;

impl BlockProbe {
    /// Creates an index of `size` blocks, of which each server holds an even part.
    pub fn index(size: u64) -> CacheIndex {
        let bound = usize::try_from(size).unwrap_or(usize::MAX);
        let mut index = CacheIndex::new().with_bound(bound);
        let server = RouterFixture::server_id(0);
        for first in (0..size).step_by(RUN as usize) {
            tell(&mut index, &server, first);
        }
        index
    }
}

impl Probe for BlockProbe {
    const UNIT: &'static str = "cached block";
    const OPERATION: &'static str = "take in one cache event";
    const SIZES: [u64; 3] = [10_000, 100_000, 1_000_000];

    fn measure(size: u64) -> Sample {
        let heap = Heap::now();
        let mut index = Self::index(size);
        let memory = heap.grown();
        let server = RouterFixture::server_id(0);
        let runs = EVENTS / RUN as u32;
        let time = time_of(runs, |run| {
            tell(&mut index, &server, size + u64::from(run) * RUN);
        });
        Sample {
            size,
            memory,
            message: 0,
            time: time / RUN as f64,
        }
    }
}

/// Tells of a run of stored blocks from number `first` on.
fn tell(index: &mut CacheIndex, server: &ServerId, first: u64) {
    let keys = (first..first + RUN).map(|n| BlockKey::new(u128::from(n)));
    let ops: Vec<CacheOp> = keys.map(CacheOp::Stored).collect();
    index.update(&CacheUpdate {
        server,
        incarnation: Incarnation::new(1),
        first,
        snapshot: false,
        ops: &ops,
    });
}
