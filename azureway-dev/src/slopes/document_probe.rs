//! Measures for the scaling table how the document grows with the backend servers.

use azureway_core::prelude::*;

use super::probe::{Probe, mean_nanos};
use super::{Heap, Sample};
use crate::bench::{FleetSize, RouterFixture};

/// Measures a configuration document with 350 accounts and 23 models by the number of servers: the
/// size of its text, the memory of the parsed fleet, and the time to parse and apply a change.
#[derive(Clone, Copy, Debug)]
pub struct DocumentProbe;

/// The number of timed changes.
const CHANGES: u32 = 10;

impl Probe for DocumentProbe {
    const UNIT: &'static str = "server in the document";
    const OPERATION: &'static str = "parse and apply a changed document";
    const SIZES: [u64; 3] = [100, 400, 1_600];

    fn measure(size: u64) -> Sample {
        let servers = usize::try_from(size).unwrap_or(0);
        let fleet_size = FleetSize {
            servers,
            ..FleetSize::DESIGN
        };
        let text = fleet_size.document();
        let heap = Heap::now();
        let parsed = azureway_config::document::parse(&text, ConfigVersion::new(2)).ok();
        let memory = heap.growth();
        drop(parsed);
        let mut fixture = RouterFixture::new(fleet_size, 16);
        let time = mean_nanos(CHANGES, |n| {
            let version = ConfigVersion::new(u64::from(n) + 2);
            if let Ok(fleet) = azureway_config::document::parse(&text, version) {
                fixture.handle(Event::Configured(&fleet));
            }
        });
        Sample {
            size,
            memory,
            message: text.len() as u64,
            time,
        }
    }
}
