//! Measures for the scaling table how cache lookups slow down with the cached blocks.

use std::hint::black_box;

use azureway_core::prelude::*;

use super::probe::{Probe, mean_nanos};
use super::{BlockProbe, Sample};
use crate::bench::RouterFixture;

/// Measures the time to look up a prompt's blocks by the number of blocks in the cache index.
#[derive(Clone, Copy, Debug)]
pub struct LookupProbe;

/// The number of timed lookups.
const LOOKUPS: u32 = 10_000;
/// The number of blocks in a prompt.
const PROMPT_BLOCKS: u64 = 6;
/// The distance, in blocks, between the starts of successive prompts.
const STRIDE: u64 = 7_919;

impl Probe for LookupProbe {
    const UNIT: &'static str = "cached block";
    const OPERATION: &'static str = "look up a prompt of 6 blocks at one server";
    const SIZES: [u64; 3] = [10_000, 100_000, 1_000_000];

    fn measure(size: u64) -> Sample {
        let mut index = BlockProbe::index(size);
        let server = RouterFixture::server_id(0);
        let time = mean_nanos(LOOKUPS, |number| {
            let first = u64::from(number) * STRIDE % size;
            let blocks: [Block; PROMPT_BLOCKS as usize] = std::array::from_fn(|n| Block {
                key: BlockKey::new(u128::from(first + n as u64)),
                tokens: TokenCount::new(1),
            });
            black_box(index.cached_tokens(&server, Incarnation::new(1), &blocks));
        });
        Sample {
            size,
            memory: 0,
            message: 0,
            time,
        }
    }
}
