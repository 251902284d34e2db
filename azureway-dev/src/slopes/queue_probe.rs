//! Measures for the scaling table how the queue grows with the queued requests.

use super::probe::{Probe, mean_nanos};
use super::{Heap, Sample};
use crate::bench::{FleetSize, RouterFixture};

/// Measures the memory of the queue and the time to queue a request and dispatch the next one by
/// the number of queued requests.
#[derive(Clone, Copy, Debug)]
pub struct QueueProbe;

/// The number of timed requests.
const REQUESTS: u32 = 200;
/// The number of client accounts that the requests come from.
const ACCOUNTS: usize = 350;

impl Probe for QueueProbe {
    const UNIT: &'static str = "queued request";
    const OPERATION: &'static str = "queue a request and dispatch the next";
    const SIZES: [u64; 3] = [400, 1_000, 2_000];

    fn measure(size: u64) -> Sample {
        let mut fixture = RouterFixture::new(FleetSize::new(1).with_accounts(ACCOUNTS), 1);
        let mut running = fixture.submit();
        let heap = Heap::now();
        for _ in 0..size {
            fixture.submit();
        }
        let memory = heap.growth();
        let time = mean_nanos(REQUESTS, |_| {
            running = running
                .take()
                .and_then(|dispatch| fixture.finish(&dispatch));
            fixture.submit();
        });
        Sample {
            size,
            memory,
            message: 0,
            time,
        }
    }
}
