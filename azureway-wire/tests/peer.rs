//! Tests of the messages between entry instances and of the traffic that they cause.

use std::time::Duration;

use azureway_core::member::{MemberUpdate, MembershipConfig};
use azureway_core::prelude::*;
use azureway_wire::peer;
use googletest::prelude::*;
use prost::Message;

/// The maximum control traffic of a node, in bytes per second, from the stated target.
const MAX_TRAFFIC: usize = 16 * 1024;
/// The overhead of HTTP/2 and gRPC per call, in both directions together, with compressed headers,
/// in bytes.
const CALL_OVERHEAD: usize = 300;

fn instance(number: u64) -> Instance {
    let zone = ZoneId::new(&format!("maribor-{}", number % 7));
    let id = InstanceId::new(&format!("{zone}-entry-{number}"));
    let address = ([10, 120, 3, 4], 8_081).into();
    Instance::new(id, zone, address).with_incarnation(Incarnation::new(1_800_000_000_000_000))
}

fn crash_report(number: u8) -> CrashReport {
    let site = CrashSite::new(ServerId::new("maribor-3-engine-210"), Incarnation::new(9));
    let fingerprint = Fingerprint::from_bytes([number; 16]);
    CrashReport::new(
        CrashSubject::Request(fingerprint),
        site,
        CrashReportState::Confirmed,
        Duration::from_secs(600),
    )
}

/// Returns a heartbeat of the maximum size.
fn largest_heartbeat() -> Heartbeat {
    let config = MembershipConfig::new();
    let member = |n| GossipUpdate::Member(MemberUpdate::new(instance(n), Liveness::Suspect));
    let updates = (0..config.max_updates as u64).map(member);
    let demand = (0..config.max_accounts as u64).map(|n| {
        let account = AccountId::new(&format!("distributor-of-the-north-{n}"));
        AccountUse::new(account, TokenRate::new(100_000), TokenRate::new(90_000))
    });
    Heartbeat {
        from: instance(1),
        version: ConfigVersion::new(1_000_000),
        digest: u64::MAX,
        full: false,
        updates: updates.collect(),
        demand: demand.collect(),
        zones: Vec::new(),
    }
}

#[gtest]
fn a_heartbeat_is_unchanged_after_encoding_and_decoding() {
    let mut heartbeat = largest_heartbeat();
    heartbeat
        .updates
        .push(GossipUpdate::CrashReport(crash_report(7)));
    let part = CrashReport {
        subject: CrashSubject::Part(PartKey::of(b"part")),
        ..crash_report(7)
    };
    heartbeat.updates.push(GossipUpdate::CrashReport(part));
    heartbeat.updates.push(GossipUpdate::Server(ServerUpdate {
        server: ServerId::new("engine-1"),
        incarnation: Incarnation::new(3),
        status: ServerStatus::Leaving,
    }));
    let bytes = peer::Heartbeat::from(&heartbeat).encode_to_vec();
    let message = peer::Heartbeat::decode(bytes.as_slice()).expect("a message");
    let read = Heartbeat::try_from(&message).expect("a heartbeat");
    expect_that!(read, eq(&heartbeat));
}

#[gtest]
fn invalid_fields_are_protocol_errors() {
    let good = peer::Heartbeat::from(&largest_heartbeat());
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

/// Checks the worst case at the design size of 360 nodes in 7 zones. Per round, a node sends
/// heartbeats to its fan-out and as many replies, all of the maximum size; early rounds add half
/// as much. At worst, it also maintains the links to all 6 other zones in every second round. Once
/// per sync interval it sends a full sync with all members to a node that requests one, and
/// receives one as often.
#[gtest]
fn control_traffic_stays_within_its_target_at_360_nodes() {
    let config = MembershipConfig::new();
    let heartbeat_bytes =
        peer::Heartbeat::from(&largest_heartbeat()).encoded_len() + CALL_OVERHEAD / 2;
    let mut sync = largest_heartbeat();
    let all =
        (0..360).map(|n| GossipUpdate::Member(MemberUpdate::new(instance(n), Liveness::Alive)));
    sync.updates = all.collect();
    let sync_bytes = peer::Heartbeat::from(&sync).encoded_len();
    let rounds = 1.0 / config.interval.as_secs_f64();
    // A node receives as many heartbeats as it sends on average, and replies to each.
    let gossip = rounds * (config.fanout * 2 * heartbeat_bytes) as f64;
    let links = rounds / 2.0 * (6 * 2 * heartbeat_bytes) as f64;
    let sync_traffic = sync_bytes as f64 / config.sync_interval.as_secs_f64();
    let early = gossip / 2.0;
    let regular = gossip + sync_traffic;
    let worst = gossip + early + links + sync_traffic;
    println!("heartbeat {heartbeat_bytes} B, full sync {sync_bytes} B");
    println!(
        "sent per second: {regular:.0} B by most nodes, {worst:.0} B with all links and early rounds"
    );
    expect_that!(worst, lt(MAX_TRAFFIC as f64));
}
