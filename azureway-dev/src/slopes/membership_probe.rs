//! Measures for the scaling table how the membership state grows with the known peers.

use azureway_core::prelude::*;

use super::probe::{Probe, mean_nanos};
use super::{Heap, Sample};

/// Measures the membership state of an instance and the time to handle a heartbeat by the number of
/// known peers.
#[derive(Clone, Copy, Debug)]
pub struct MembershipProbe;

/// The number of timed heartbeats.
const HEARTBEATS: u32 = 200;
/// The number of availability zones over which the peers are distributed.
const ZONES: u64 = 7;

impl MembershipProbe {
    /// Returns the peer with this number.
    pub fn peer(number: u64) -> Instance {
        let id = InstanceId::new(&format!("zone-{}-entry-{number:03}", number % ZONES));
        let zone = ZoneId::new(&format!("zone-{}", number % ZONES));
        let [.., high, low] = number.to_be_bytes();
        Instance::new(id, zone, ([10, 1, high, low], 8_081).into())
            .with_incarnation(Incarnation::new(1_700_000_000_000))
    }

    /// Returns a peer's heartbeat with updates on `members` members and the demand of 16 accounts.
    pub fn heartbeat(number: u64, members: u64) -> Heartbeat {
        let alive = |n| GossipUpdate::Member(MemberUpdate::new(Self::peer(n), Liveness::Alive));
        let accounts =
            (0..MembershipConfig::new().max_accounts).map(crate::bench::RouterFixture::account_id);
        Heartbeat {
            from: Self::peer(number),
            version: ConfigVersion::new(1),
            digest: u64::MAX,
            full: false,
            updates: (0..members).map(alive).collect(),
            demand: accounts
                .map(|a| AccountUse::new(a, TokenRate::new(1_000_000), TokenRate::ZERO))
                .collect(),
            zones: Vec::new(),
        }
    }
}

impl Probe for MembershipProbe {
    const UNIT: &'static str = "peer in the membership";
    const OPERATION: &'static str = "handle a heartbeat and reply to it";
    const SIZES: [u64; 3] = [8, 60, 360];

    fn measure(size: u64) -> Sample {
        let peers: Vec<Instance> = (1..=size).map(Self::peer).collect();
        let heartbeats: Vec<Heartbeat> = (1..=size).map(|n| Self::heartbeat(n, 0)).collect();
        let heap = Heap::now();
        let now = Timestamp::from_millis(1);
        let mut membership =
            Membership::new(MembershipConfig::new(), Self::peer(0), &peers, 1, now);
        let mut out = Vec::new();
        for heartbeat in &heartbeats {
            membership.handle(PeerEvent::Heartbeat(heartbeat), now, &mut out);
            out.clear();
        }
        let memory = heap.growth();
        let time = mean_nanos(HEARTBEATS, |n| {
            let index = n as usize % heartbeats.len();
            membership.handle(PeerEvent::Heartbeat(&heartbeats[index]), now, &mut out);
            out.clear();
        });
        Sample {
            size,
            memory,
            message: 0,
            time,
        }
    }
}
