//! Tests of announcements to all peers.

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;

fn instance(id: &str, zone: &str) -> Instance {
    let address = "127.0.0.1:7000".parse().expect("an address");
    Instance::new(InstanceId::new(id), ZoneId::new(zone), address)
}

// Guards against suspecting peers, and repeating calls to them over new connections, because an
// instance that announces many loads has no time for the answers.
#[gtest]
fn a_load_is_announced_once_to_each_peer_and_needs_no_answer() {
    let now = Timestamp::from_millis(1);
    let peers = [
        instance("one", "a"),
        instance("two", "a"),
        instance("three", "b"),
    ];
    let me = instance("me", "a");
    let mut member = Membership::new(MembershipConfig::new(), me, &peers, 1, now);
    let mut out = Vec::new();
    let notice = LoadNotice {
        server: ServerId::new("s"),
        weights: WeightsVersion::new(2),
        duration: Duration::from_secs(1),
    };
    member.handle(PeerEvent::Loading(&notice), now, &mut out);
    let mut told: Vec<&str> = Vec::new();
    for action in &out {
        if let PeerAction::Announce(peer, beat) = action {
            expect_that!(beat.updates.len(), eq(1));
            told.push(peer.id.as_str());
        }
    }
    told.sort_unstable();
    expect_that!(told, eq(&vec!["one", "three", "two"]));
}
