//! Quarantine of requests that crash backend servers, over several entries.

mod cluster;

use std::time::Duration;

use azureway_core::prelude::*;
use cluster::Cluster;
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, prop};
use proptest::test_runner::{RngAlgorithm, TestRng};

const CASES: &str = include_str!("../testdata/quarantine.txt");
const SERVERS: usize = 8;
const POISON: &str = "poison";

/// Each row gives the number of entries, the number of requests, whether they are concurrent
/// through all entries, whether entries exchange crash reports, and the largest number of crashes.
#[gtest]
fn a_poison_request_crashes_a_bounded_number_of_servers() {
    let cases = CASES
        .lines()
        .filter(|l| !l.is_empty() && !l.starts_with('#'));
    for case in cases {
        let parts: Vec<&str> = case.split('|').map(str::trim).collect();
        let number = |index: usize| parts[index].parse::<usize>().expect("a number");
        let mut cluster = Cluster::new(number(2), SERVERS);
        let concurrent = parts[4] == "at once";
        for request in 0..number(3) {
            cluster.send(request % number(2), POISON);
            if !concurrent {
                cluster.crash_all(POISON);
            }
            if parts[5] == "told" {
                cluster.share_crash_reports();
            }
            cluster.report_all();
            cluster.advance(Duration::from_secs(3));
        }
        cluster.crash_all(POISON);
        expect_that!(cluster.crashes, le(number(6)), "{case}");
    }
}

/// Servers of the users' platform send no reports. Only its list gives their incarnations.
#[gtest]
fn listed_incarnations_quarantine_a_request_that_crashes_servers() {
    let mut cluster = Cluster::new(3, SERVERS);
    cluster.list_all();
    for request in 0..6 {
        cluster.send(request % 3, POISON);
        cluster.crash_one(POISON);
        cluster.list_all();
        cluster.share_crash_reports();
        cluster.advance(Duration::from_secs(3));
    }
    cluster.crash_all(POISON);
    expect_that!(cluster.crashes, le(3));
    let statuses = [0, 1, 2].map(|entry| cluster.status(entry, POISON));
    expect_that!(statuses, each(eq(SuspectStatus::Quarantined)));
}

/// Guards against an entry that builds a fleet of an old list long after a crash, as when the restarts
/// reach it late, and takes the servers for unharmed.
#[gtest]
fn a_list_from_before_a_crash_does_not_clear_its_reports() {
    let mut cluster = Cluster::new(2, SERVERS);
    cluster.list_all();
    let before = cluster.listing();
    cluster.send(0, POISON);
    cluster.crash_all(POISON);
    cluster.share_crash_reports();
    let after = cluster.listing();
    cluster.list_to(1, &after);
    cluster.advance(Duration::from_millis(5_100));
    cluster.list_to(0, &before);
    cluster.share_crash_reports();
    cluster.list_to(0, &after);
    cluster.share_crash_reports();
    let statuses = [0, 1].map(|entry| cluster.status(entry, POISON));
    expect_that!(statuses, each(eq(SuspectStatus::Quarantined)));
    let crashes = cluster.crashes;
    cluster.send(0, POISON);
    cluster.crash_all(POISON);
    expect_that!(cluster.crashes, eq(crashes));
}

#[gtest]
fn a_broken_connection_without_a_restart_does_not_quarantine() {
    let mut cluster = Cluster::new(1, SERVERS);
    cluster.list_all();
    for _ in 0..4 {
        cluster.send(0, POISON);
        cluster.break_connections(POISON);
        cluster.list_all();
        cluster.advance(Duration::from_secs(3));
    }
    expect_that!(
        cluster.status(0, POISON),
        not(eq(SuspectStatus::Quarantined))
    );
}

#[gtest]
fn twenty_healthy_requests_finish_beside_one_poison_request() {
    let mut cluster = Cluster::new(1, SERVERS);
    for number in 0..20 {
        cluster.send(0, &format!("innocent-{number}"));
    }
    cluster.send(0, POISON);
    for _ in 0..120 {
        cluster.crash_all(POISON);
        cluster.report_all();
        cluster.finish_healthy();
        cluster.advance(Duration::from_millis(500));
    }
    expect_that!(cluster.crashes, eq(2));
    expect_that!(cluster.finished, eq(20));
    cluster.send(0, POISON);
    let refused: Vec<_> = cluster
        .refused
        .iter()
        .map(|r| (r.reason, r.not_run))
        .collect();
    let first = (RefusalReason::ServerFailed, false);
    let second = (RefusalReason::Quarantined, true);
    expect_that!(refused, elements_are![eq(&first), eq(&second)]);
}

#[gtest]
fn suspects_run_on_separate_servers() {
    let mut cluster = Cluster::new(1, 3);
    for number in 0..12 {
        cluster.send(0, &format!("innocent-{number}"));
    }
    cluster.crash_busiest();
    cluster.advance(Duration::from_millis(1));
    for _ in 0..60 {
        expect_that!(cluster.suspects_share_a_server(), eq(false));
        cluster.finish_one();
        cluster.advance(Duration::from_millis(500));
    }
    expect_that!(cluster.finished, eq(12));
}

#[gtest]
fn an_unchanged_incarnation_clears_the_crash_reports_of_broken_connections() {
    let mut cluster = Cluster::new(1, SERVERS);
    cluster.report_all();
    cluster.send(0, "innocent");
    cluster.break_connections("innocent");
    cluster.break_connections("innocent");
    expect_that!(
        cluster.status(0, "innocent"),
        eq(SuspectStatus::Quarantined)
    );
    cluster.advance(Duration::from_secs(6));
    cluster.report_all();
    expect_that!(cluster.status(0, "innocent"), eq(SuspectStatus::Clear));
}

/// A stream that advances with each attempt is resumed although its request is quarantined. It is
/// refused once an attempt fails without progress.
#[gtest]
fn a_stream_that_makes_progress_is_resumed() {
    let mut cluster = Cluster::new(1, SERVERS);
    cluster.send(0, "innocent");
    cluster.break_streams("innocent", 5);
    cluster.break_streams("innocent", 9);
    expect_that!(
        cluster.status(0, "innocent"),
        eq(SuspectStatus::Quarantined)
    );
    expect_that!(cluster.count_running("innocent"), eq(1));
    cluster.break_streams("innocent", 9);
    expect_that!(cluster.count_running("innocent"), eq(0));
    let refused: Vec<_> = cluster.refused.iter().map(|r| r.reason).collect();
    expect_that!(refused, elements_are![eq(&RefusalReason::StreamBroken)]);
}

#[gtest]
fn silent_connections_do_not_quarantine() {
    let mut cluster = Cluster::new(1, SERVERS);
    cluster.report_all();
    cluster.send(0, "innocent");
    cluster.silence_connections("innocent");
    cluster.silence_connections("innocent");
    expect_that!(cluster.status(0, "innocent"), eq(SuspectStatus::Clear));
    cluster.finish_healthy();
    expect_that!(cluster.finished, eq(1));
}

#[gtest]
fn a_quarantine_expires() {
    let mut cluster = Cluster::new(1, SERVERS);
    cluster.report_all();
    cluster.send(0, POISON);
    cluster.crash_all(POISON);
    cluster.report_all();
    expect_that!(cluster.status(0, POISON), eq(SuspectStatus::Quarantined));
    cluster.advance(Duration::from_secs(599));
    expect_that!(cluster.status(0, POISON), eq(SuspectStatus::Quarantined));
    cluster.advance(Duration::from_secs(2));
    expect_that!(cluster.status(0, POISON), eq(SuspectStatus::Clear));
}

/// Runs random sequences of events and checks the crash bound after each event.
#[test]
fn random_events_stay_within_the_crash_bound() {
    let config = ProptestConfig {
        cases: 64,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[41; 32]);
    let mut runner = proptest::test_runner::TestRunner::new_with_rng(config, rng);
    let events = prop::collection::vec((0..7usize, any::<u8>()), 1..60);
    let result = runner.run(&(events, any::<bool>()), |(events, shared)| {
        let mut cluster = Cluster::new(3, SERVERS);
        let mut copies = None;
        cluster.report_all();
        for (kind, draw) in events {
            let entry = usize::from(draw) % 3;
            match kind {
                0 => cluster.send(entry, POISON),
                1 => cluster.send(entry, &format!("innocent-{}", draw % 5)),
                2 => cluster.finish_healthy(),
                3 => cluster.report_all(),
                4 => cluster.break_connections(&format!("innocent-{}", draw % 5)),
                5 => cluster.silence_connections(&format!("innocent-{}", draw % 5)),
                _ => cluster.advance(Duration::from_millis(u64::from(draw) * 10)),
            }
            cluster.crash_one(POISON);
            if shared {
                cluster.share_crash_reports();
            }
            // Attempts that were running at the second crash keep running.
            if cluster.crashes == 2 && copies.is_none() {
                copies = Some(cluster.count_running(POISON));
            }
            let bound = if shared {
                2 + copies.unwrap_or(0)
            } else {
                2 * 3
            };
            assert!(
                cluster.crashes <= bound,
                "{} servers crashed",
                cluster.crashes
            );
            assert!(
                !cluster.suspects_share_a_server(),
                "suspects share a server"
            );
        }
        Ok(())
    });
    result.expect("the bound holds");
}
