//! Measures for the scaling table how an entry instance's state grows with the client accounts.

use super::probe::{Probe, mean_nanos};
use super::{Heap, Sample};
use crate::bench::{FleetSize, RouterFixture};

/// Measures the state of an entry instance and the time to route a request by the client accounts
/// that have sent a request.
#[derive(Clone, Copy, Debug)]
pub struct AccountProbe;

/// The number of timed requests.
const REQUESTS: u32 = 500;

impl Probe for AccountProbe {
    const UNIT: &'static str = "client account";
    const OPERATION: &'static str = "route and finish a request";
    const SIZES: [u64; 3] = [35, 350, 3_500];

    fn measure(size: u64) -> Sample {
        let heap = Heap::now();
        let accounts = usize::try_from(size).unwrap_or(0);
        let mut fixture = RouterFixture::new(FleetSize::new(9).with_accounts(accounts), 16);
        for _ in 0..accounts {
            fixture.run_request();
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
