//! Measures for the scaling table how the demand reports grow with the peers.

use azureway_core::admit::{Demand, LimitShare};
use azureway_core::prelude::*;

use super::probe::{Probe, mean_nanos};
use super::{Heap, Sample};
use crate::bench::RouterFixture;

/// Measures the memory of the demand reports and the time to record one by the number of peers,
/// each of which reports the demand of 350 client accounts.
#[derive(Clone, Copy, Debug)]
pub struct DemandProbe;

/// The number of client accounts in a report.
const ACCOUNTS: usize = 350;
/// The number of timed reports.
const MESSAGES: u32 = 50;

impl Probe for DemandProbe {
    const UNIT: &'static str = "peer that reports on 350 accounts";
    const OPERATION: &'static str = "record one peer's demand";
    const SIZES: [u64; 3] = [8, 60, 360];

    fn measure(size: u64) -> Sample {
        let demands: Vec<Demand> = (0..size).map(peer_demand).collect();
        let heap = Heap::now();
        let mut share = LimitShare::new();
        let now = Timestamp::from_millis(1);
        demands.iter().for_each(|d| share.record(d, now));
        let memory = heap.growth();
        let time = mean_nanos(MESSAGES, |n| {
            let index = n as usize % demands.len();
            share.record(&demands[index], now);
        });
        Sample {
            size,
            memory,
            message: 0,
            time,
        }
    }
}

fn peer_demand(peer: u64) -> Demand {
    let accounts = (0..ACCOUNTS).map(RouterFixture::account_id);
    Demand {
        instance: InstanceId::new(&format!("entry-{peer:03}")),
        rates: accounts.map(|a| (a, TokenRate::new(1_000))).collect(),
    }
}
