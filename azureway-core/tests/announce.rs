//! Tests of announcements to all peers.

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;

fn instance(id: &str, zone: &str) -> Instance {
    let address = "127.0.0.1:7000".parse().expect("an address");
    Instance::new(InstanceId::new(id), ZoneId::new(zone), address)
}

/// A member with peers in two availability zones.
fn member(now: Timestamp) -> Membership {
    let peers = [
        instance("one", "a"),
        instance("two", "a"),
        instance("three", "b"),
    ];
    let me = instance("me", "a");
    Membership::new(MembershipConfig::new(), me, &peers, 1, now)
}

/// Returns the peers that an announcement among `actions` is for, and the number of its updates.
fn announced(actions: &[PeerAction]) -> Vec<(&str, usize)> {
    let announced = actions.iter().filter_map(|action| match action {
        PeerAction::Announce(peer, beat) => Some((peer.id.as_str(), beat.updates.len())),
        _ => None,
    });
    let mut announced: Vec<_> = announced.collect();
    announced.sort_unstable();
    announced
}

fn part_report(server: &str, state: CrashReportState) -> CrashReport {
    let site = CrashSite::new(ServerId::new(server), Incarnation::new(9));
    let subject = CrashSubject::Part(PartKey::of(b"part"));
    CrashReport::new(subject, site, state, CrashReport::TTL)
}

// Guards against crash reports about parts that wait behind other updates in rounds of gossip, while
// requests with the part crash servers at every entry.
#[gtest]
fn crash_reports_about_parts_are_announced_together_to_each_peer() {
    let now = Timestamp::from_millis(1_000);
    let mut member = member(now);
    let mut out = Vec::new();
    let report = part_report("s-1", CrashReportState::Unconfirmed);
    member.handle(PeerEvent::CrashReport(&report), now, &mut out);
    expect_that!(
        announced(&out),
        eq(&vec![("one", 1), ("three", 1), ("two", 1)])
    );
    out.clear();
    for server in ["s-2", "s-3"] {
        let report = part_report(server, CrashReportState::Unconfirmed);
        member.handle(PeerEvent::CrashReport(&report), now, &mut out);
    }
    expect_that!(announced(&out), is_empty());
    let later = now + Duration::from_millis(50);
    expect_that!(member.next_wakeup(), le(later));
    member.handle(PeerEvent::Tick, later, &mut out);
    expect_that!(
        announced(&out),
        eq(&vec![("one", 2), ("three", 2), ("two", 2)])
    );
}

// Guards against announcements that each receiver announces again.
#[gtest]
fn an_announced_crash_report_is_not_passed_on() {
    let now = Timestamp::from_millis(1);
    let mut member = member(now);
    let mut out = Vec::new();
    let report = part_report("s-1", CrashReportState::Unconfirmed);
    let beat = Heartbeat {
        from: instance("one", "a"),
        version: ConfigVersion::ZERO,
        digest: 0,
        full: false,
        updates: vec![GossipUpdate::CrashReport(report.clone())],
        demand: Vec::new(),
        zones: Vec::new(),
    };
    member.handle(PeerEvent::Heartbeat(&beat), now, &mut out);
    let applied = |a: &PeerAction| *a == PeerAction::CrashReport(report.clone());
    expect_that!(out.iter().filter(|a| applied(a)).count(), eq(1));
    expect_that!(announced(&out), is_empty());
    let carries = |a: &PeerAction| match a {
        PeerAction::Send(_, beat) | PeerAction::Reply(beat) => {
            let report = |u: &GossipUpdate| matches!(u, GossipUpdate::CrashReport(_));
            beat.updates.iter().any(report)
        }
        _ => false,
    };
    expect_that!(out.iter().any(carries), eq(false));
}

// Guards against suspecting peers, and repeating calls to them over new connections, because an
// instance that announces many loads has no time for the answers.
#[gtest]
fn a_load_is_announced_once_to_each_peer_and_needs_no_answer() {
    let now = Timestamp::from_millis(1);
    let mut member = member(now);
    let mut out = Vec::new();
    let notice = LoadNotice {
        server: ServerId::new("s"),
        weights: WeightsVersion::new(2),
        duration: Duration::from_secs(1),
    };
    member.handle(PeerEvent::Loading(&notice), now, &mut out);
    expect_that!(
        announced(&out),
        eq(&vec![("one", 1), ("three", 1), ("two", 1)])
    );
}
