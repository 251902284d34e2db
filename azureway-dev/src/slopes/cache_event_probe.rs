//! Growth of an engine's news by cache events.

use azureway_core::prelude::*;
use azureway_wire::engine::{CacheEvent, EngineNews};

use super::Sample;
use super::probe::{Probe, mean_nanos};

/// Growth of an engine's news by the cache events in it: its bytes, and reading it.
#[derive(Clone, Copy, Debug)]
pub struct CacheEventProbe;

/// The messages whose reading is timed.
const MESSAGES: u32 = 100;

impl Probe for CacheEventProbe {
    const UNIT: &'static str = "cache event in a message";
    const OPERATION: &'static str = "decode the message";
    const SIZES: [u64; 3] = [1, 10, 100];

    fn measure(size: u64) -> Sample {
        // A key is a digest: its digits are all in use.
        let keys = (0..size).map(|n| BlockKey::new(u128::MAX - u128::from(n)));
        let events = keys.map(|k| CacheEvent::from(CacheOp::Stored(k)));
        let message = EngineNews {
            incarnation: 1,
            weights: 1,
            first: 1_000_000,
            events: events.collect(),
            ..EngineNews::default()
        };
        let text = serde_json::to_string(&message).unwrap_or_default();
        let time = mean_nanos(MESSAGES, |_| {
            let decoded: Option<EngineNews> = serde_json::from_str(&text).ok();
            drop(std::hint::black_box(decoded.map(|n| n.cache_ops())));
        });
        Sample {
            size,
            memory: 0,
            message: text.len() as u64,
            time,
        }
    }
}
