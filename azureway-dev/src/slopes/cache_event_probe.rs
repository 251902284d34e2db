//! Measures for the scaling table how an engine's feed message grows with its cache events.

use azureway_core::prelude::*;
use azureway_wire::engine::{CacheEvent, FeedBody};

use super::Sample;
use super::probe::{Probe, mean_nanos};

/// Measures the size and the decoding time of an engine's feed message by the number of its cache
/// events.
#[derive(Clone, Copy, Debug)]
pub struct CacheEventProbe;

/// The number of timed messages.
const MESSAGES: u32 = 100;

impl Probe for CacheEventProbe {
    const UNIT: &'static str = "cache event in a message";
    const OPERATION: &'static str = "decode the message";
    const SIZES: [u64; 3] = [1, 10, 100];

    fn measure(size: u64) -> Sample {
        // Real keys are digests, so these are large numbers that encode at full length.
        let keys = (0..size).map(|n| BlockKey::new(u128::MAX - u128::from(n)));
        let events = keys.map(|k| CacheEvent::from(CacheOp::Stored(k)));
        let message = FeedBody {
            incarnation: 1,
            weights: 1,
            first: 1_000_000,
            events: events.collect(),
            ..FeedBody::default()
        };
        let text = serde_json::to_string(&message).unwrap_or_default();
        let time = mean_nanos(MESSAGES, |_| {
            let decoded: Option<FeedBody> = serde_json::from_str(&text).ok();
            drop(std::hint::black_box(decoded.map(|n| n.into_cache_ops())));
        });
        Sample {
            size,
            memory: 0,
            message: text.len() as u64,
            time,
        }
    }
}
