//! Measures for the scaling table how an entry instance's state grows with the backend servers.

use super::probe::{Probe, mean_nanos};
use super::{Heap, Sample};
use crate::bench::{FleetSize, RouterFixture};

/// Measures the state of an entry instance and the time to route a request by the number of servers
/// to choose from.
#[derive(Clone, Copy, Debug)]
pub struct ServerProbe;

/// The number of timed requests.
const REQUESTS: u32 = 500;
/// The number of slots per server.
const SLOTS: u32 = 16;

impl Probe for ServerProbe {
    const UNIT: &'static str = "server of one zone and pool";
    const OPERATION: &'static str = "route and finish a request";
    const SIZES: [u64; 3] = [9, 100, 1_600];

    fn measure(size: u64) -> Sample {
        let heap = Heap::now();
        let mut fixture =
            RouterFixture::new(FleetSize::new(usize::try_from(size).unwrap_or(0)), SLOTS);
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
