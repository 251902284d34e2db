//! Growth by requests that wait.

use super::probe::{Probe, mean_nanos};
use super::{Heap, Sample};
use crate::bench::{FleetSize, RouterFixture};

/// Growth by requests that wait: what the queue keeps, and taking the next one.
#[derive(Clone, Copy, Debug)]
pub struct QueueProbe;

/// The requests that are taken from the queue.
const REQUESTS: u32 = 200;
/// The client accounts.
const ACCOUNTS: usize = 350;

impl Probe for QueueProbe {
    const UNIT: &'static str = "request that waits";
    const OPERATION: &'static str = "admit one and take the next";
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
