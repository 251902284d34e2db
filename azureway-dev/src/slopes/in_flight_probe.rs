//! Measures for the scaling table how an entry instance's state grows with the requests in flight.

use super::probe::{Probe, mean_nanos};
use super::{Heap, Sample};
use crate::bench::{FleetSize, RouterFixture};

/// Measures the state of an entry instance and the time to route a request by the requests in
/// flight.
#[derive(Clone, Copy, Debug)]
pub struct InFlightProbe;

/// The number of timed requests.
const REQUESTS: u32 = 500;
/// The number of slots per server, high enough that no request is queued.
const SLOTS: u32 = 100_000;

impl Probe for InFlightProbe {
    const UNIT: &'static str = "request in flight";
    const OPERATION: &'static str = "route and finish a request";
    const SIZES: [u64; 3] = [100, 1_000, 10_000];

    fn measure(size: u64) -> Sample {
        let mut fixture = RouterFixture::new(FleetSize::new(9), SLOTS);
        let heap = Heap::now();
        for _ in 0..size {
            fixture.submit();
        }
        let memory = heap.growth();
        let time = mean_nanos(REQUESTS, |_| fixture.run_request());
        Sample {
            size,
            memory,
            message: 0,
            time,
        }
    }
}
