//! Measures for the scaling table how the demand reports grow with the peers.

use std::time::Duration;

use azureway_core::admit::{LimitShare, ZoneDemand};
use azureway_core::prelude::{AccountUse, Timestamp, TokenRate, ZoneId};

use super::probe::{Probe, mean_nanos};
use super::{Heap, Sample};
use crate::bench::RouterFixture;

/// Measures the memory of the demand reports and the time to record one by the number of availability
/// zones, each of which reports the demand of 350 client accounts.
#[derive(Clone, Copy, Debug)]
pub struct DemandProbe;

/// The number of client accounts in a report.
const ACCOUNTS: usize = 350;
/// The number of timed reports.
const MESSAGES: u32 = 50;

impl Probe for DemandProbe {
    const UNIT: &'static str = "zone that reports on 350 accounts";
    const OPERATION: &'static str = "record one zone's demand";
    const SIZES: [u64; 3] = [8, 60, 360];

    fn measure(size: u64) -> Sample {
        let demands: Vec<ZoneDemand> = (0..size).map(zone_demand).collect();
        let heap = Heap::now();
        let mut share = LimitShare::new();
        let now = Timestamp::from_millis(1);
        demands
            .iter()
            .for_each(|d| share.record(std::slice::from_ref(d), now));
        let memory = heap.growth();
        let time = mean_nanos(MESSAGES, |n| {
            let index = n as usize % demands.len();
            share.record(&demands[index..=index], now);
        });
        Sample {
            size,
            memory,
            message: 0,
            time,
        }
    }
}

fn zone_demand(zone: u64) -> ZoneDemand {
    let accounts = (0..ACCOUNTS).map(RouterFixture::account_id);
    let accounts = accounts.map(|a| AccountUse::new(a, TokenRate::new(1_000), TokenRate::ZERO));
    ZoneDemand {
        zone: ZoneId::new(&format!("zone-{zone:03}")),
        entries: 1,
        age: Duration::ZERO,
        accounts: accounts.collect(),
    }
}
