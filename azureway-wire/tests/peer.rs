//! The messages between entry instances, and what they cost.

use std::time::Duration;

use azureway_core::member::{MemberUpdate, MembershipConfig};
use azureway_core::prelude::*;
use azureway_wire::peer;
use googletest::prelude::*;
use prost::Message;

/// The bytes a second that control may cost a node, from the stated target.
const BYTES_MAX: usize = 16 * 1024;
/// What HTTP/2 and gRPC add to a call, both ways, with compressed headers, in bytes.
const CALL_COST: usize = 300;

fn instance(number: u64) -> Instance {
    let zone = ZoneId::new(&format!("maribor-{}", number % 7));
    let id = InstanceId::new(&format!("{zone}-entry-{number}"));
    let address = ([10, 120, 3, 4], 8_081).into();
    Instance::new(id, zone, address).with_incarnation(Incarnation::new(1_800_000_000_000_000))
}

fn strike(number: u8) -> Strike {
    let site = CrashSite::new(ServerId::new("maribor-3-engine-210"), Incarnation::new(9));
    let print = Fingerprint::from_bytes([number; 16]);
    Strike::new(
        print,
        site,
        StrikeState::Confirmed,
        Duration::from_secs(600),
    )
}

/// A heartbeat that is as full as it gets.
fn full() -> Heartbeat {
    let config = MembershipConfig::new();
    let member = |n| GossipUpdate::Member(MemberUpdate::new(instance(n), Liveness::Suspect));
    let news = (0..config.max_updates as u64).map(member);
    let demand = (0..config.max_accounts as u64).map(|n| {
        let account = AccountId::new(&format!("distributor-of-the-north-{n}"));
        (account, TokenRate::new(100_000))
    });
    Heartbeat {
        from: instance(1),
        version: ConfigVersion::new(1_000_000),
        digest: u64::MAX,
        full: false,
        updates: news.collect(),
        demand: demand.collect(),
    }
}

#[gtest]
fn a_heartbeat_survives_the_wire() {
    let mut beat = full();
    beat.updates.push(GossipUpdate::Strike(strike(7)));
    beat.updates.push(GossipUpdate::Server(ServerUpdate {
        server: ServerId::new("engine-1"),
        incarnation: Incarnation::new(3),
        status: ServerStatus::Leaving,
    }));
    let bytes = peer::Heartbeat::from(&beat).encode_to_vec();
    let message = peer::Heartbeat::decode(bytes.as_slice()).expect("a message");
    let read = Heartbeat::try_from(&message).expect("a heartbeat");
    expect_that!(read, eq(&beat));
}

#[gtest]
fn a_message_out_of_range_is_an_error_and_no_panic() {
    let good = peer::Heartbeat::from(&full());
    let mut no_sender = good.clone();
    no_sender.from = None;
    let mut bad_port = good.clone();
    bad_port.from.as_mut().expect("a sender").port = 70_000;
    let mut bad_ip = good.clone();
    bad_ip.from.as_mut().expect("a sender").ip = vec![1, 2];
    let mut no_subject = good.clone();
    no_subject.news[0].subject = None;
    for bad in [no_sender, bad_port, bad_ip, no_subject] {
        let error = Heartbeat::try_from(&bad).expect_err("a fault");
        expect_that!(error.kind(), eq(ErrorKind::Protocol));
    }
}

/// The size to design for: 360 nodes in 7 zones. In every second a node sends its fan-out and
/// as many answers, all of them full, and half as many early rounds; every second
/// round it keeps the links to all other zones, if it is the unluckiest; and all news goes
/// once in a refresh to a node that asks, with all members, and as often comes back.
#[gtest]
fn a_node_stays_under_its_budget_at_360_nodes() {
    let config = MembershipConfig::new();
    let beat = peer::Heartbeat::from(&full()).encoded_len() + CALL_COST / 2;
    let mut everything = full();
    let all =
        (0..360).map(|n| GossipUpdate::Member(MemberUpdate::new(instance(n), Liveness::Alive)));
    everything.updates = all.collect();
    let whole = peer::Heartbeat::from(&everything).encoded_len();
    let rounds = 1.0 / config.interval.as_secs_f64();
    // With the fan-out as many answers are sent as heartbeats are heard, the same on average.
    let near = rounds * (config.fanout * 2 * beat) as f64;
    let links = rounds / 2.0 * (6 * 2 * beat) as f64;
    let refresh = whole as f64 / config.sync_interval.as_secs_f64();
    let early = near / 2.0;
    let regular = near + refresh;
    let worst = near + early + links + refresh;
    println!("heartbeat {beat} B, all news {whole} B");
    println!(
        "sent a second: {regular:.0} B by most nodes, {worst:.0} B with all links and early rounds"
    );
    expect_that!(worst, lt(BYTES_MAX as f64));
}
