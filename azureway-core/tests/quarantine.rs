//! Quarantine of requests that crash backend servers, over several entries.

mod farm;

use std::time::Duration;

use azureway_core::prelude::*;
use farm::Farm;
use googletest::prelude::*;
use proptest::prelude::{ProptestConfig, any, prop};
use proptest::test_runner::{RngAlgorithm, TestRng};

const CASES: &str = include_str!("../testdata/quarantine.txt");
const SERVERS: usize = 8;
const POISON: &str = "poison";

/// Each row gives the number of entries, the number of submissions, whether they are concurrent
/// through all entries, whether entries exchange strikes, and the crashes that are allowed.
#[gtest]
fn a_poison_request_crashes_a_bounded_number_of_servers() {
    let cases = CASES
        .lines()
        .filter(|l| !l.is_empty() && !l.starts_with('#'));
    for case in cases {
        let parts: Vec<&str> = case.split('|').map(str::trim).collect();
        let number = |index: usize| parts[index].parse::<usize>().expect("a number");
        let mut farm = Farm::new(number(2), SERVERS);
        let concurrent = parts[4] == "at once";
        for submission in 0..number(3) {
            farm.send(submission % number(2), POISON);
            if !concurrent {
                farm.crash_all(POISON);
            }
            if parts[5] == "told" {
                farm.share();
            }
            farm.report_all();
            farm.advance(Duration::from_secs(3));
        }
        farm.crash_all(POISON);
        expect_that!(farm.crashes, le(number(6)), "{case}");
    }
}

/// Servers of the users' platform send no reports. Only its list gives their incarnations.
#[gtest]
fn listed_incarnations_quarantine_a_request_that_crashes_servers() {
    let mut farm = Farm::new(3, SERVERS);
    farm.list_all();
    for submission in 0..6 {
        farm.send(submission % 3, POISON);
        farm.crash_one(POISON);
        farm.list_all();
        farm.share();
        farm.advance(Duration::from_secs(3));
    }
    farm.crash_all(POISON);
    expect_that!(farm.crashes, le(3));
    let statuses = [0, 1, 2].map(|entry| farm.standing(entry, POISON));
    expect_that!(statuses, each(eq(SuspectStatus::Quarantined)));
}

#[gtest]
fn a_broken_connection_without_a_restart_does_not_quarantine() {
    let mut farm = Farm::new(1, SERVERS);
    farm.list_all();
    for _ in 0..4 {
        farm.send(0, POISON);
        farm.break_links(POISON);
        farm.list_all();
        farm.advance(Duration::from_secs(3));
    }
    expect_that!(
        farm.standing(0, POISON),
        not(eq(SuspectStatus::Quarantined))
    );
}

#[gtest]
fn twenty_healthy_requests_finish_beside_one_poison_request() {
    let mut farm = Farm::new(1, SERVERS);
    for number in 0..20 {
        farm.send(0, &format!("innocent-{number}"));
    }
    farm.send(0, POISON);
    for _ in 0..120 {
        farm.crash_all(POISON);
        farm.report_all();
        farm.finish_all();
        farm.advance(Duration::from_millis(500));
    }
    expect_that!(farm.crashes, eq(2));
    expect_that!(farm.finished, eq(20));
    farm.send(0, POISON);
    let refused: Vec<_> = farm.refused.iter().map(|r| (r.reason, r.not_run)).collect();
    let first = (RefusalReason::ServerFailed, false);
    let second = (RefusalReason::Quarantined, true);
    expect_that!(refused, elements_are![eq(&first), eq(&second)]);
}

#[gtest]
fn suspects_run_on_separate_servers() {
    let mut farm = Farm::new(1, 3);
    for number in 0..12 {
        farm.send(0, &format!("innocent-{number}"));
    }
    farm.crash_busiest();
    farm.advance(Duration::from_millis(1));
    for _ in 0..60 {
        expect_that!(farm.suspects_share_a_server(), eq(false));
        farm.finish_one();
        farm.advance(Duration::from_millis(500));
    }
    expect_that!(farm.finished, eq(12));
}

#[gtest]
fn an_unchanged_incarnation_clears_the_strikes_of_broken_connections() {
    let mut farm = Farm::new(1, SERVERS);
    farm.report_all();
    farm.send(0, "innocent");
    farm.break_links("innocent");
    farm.break_links("innocent");
    expect_that!(farm.standing(0, "innocent"), eq(SuspectStatus::Quarantined));
    farm.advance(Duration::from_secs(6));
    farm.report_all();
    expect_that!(farm.standing(0, "innocent"), eq(SuspectStatus::Clear));
}

/// A stream that advances with each attempt is resumed although its request is quarantined. It is
/// refused once an attempt fails without progress.
#[gtest]
fn a_stream_that_makes_progress_is_resumed() {
    let mut farm = Farm::new(1, SERVERS);
    farm.send(0, "innocent");
    farm.break_streams("innocent", 5);
    farm.break_streams("innocent", 9);
    expect_that!(farm.standing(0, "innocent"), eq(SuspectStatus::Quarantined));
    expect_that!(farm.copies("innocent"), eq(1));
    farm.break_streams("innocent", 9);
    expect_that!(farm.copies("innocent"), eq(0));
    let refused: Vec<_> = farm.refused.iter().map(|r| r.reason).collect();
    expect_that!(refused, elements_are![eq(&RefusalReason::StreamBroken)]);
}

#[gtest]
fn silent_connections_do_not_quarantine() {
    let mut farm = Farm::new(1, SERVERS);
    farm.report_all();
    farm.send(0, "innocent");
    farm.silence("innocent");
    farm.silence("innocent");
    expect_that!(farm.standing(0, "innocent"), eq(SuspectStatus::Clear));
    farm.finish_all();
    expect_that!(farm.finished, eq(1));
}

#[gtest]
fn a_quarantine_expires() {
    let mut farm = Farm::new(1, SERVERS);
    farm.report_all();
    farm.send(0, POISON);
    farm.crash_all(POISON);
    farm.report_all();
    expect_that!(farm.standing(0, POISON), eq(SuspectStatus::Quarantined));
    farm.advance(Duration::from_secs(599));
    expect_that!(farm.standing(0, POISON), eq(SuspectStatus::Quarantined));
    farm.advance(Duration::from_secs(2));
    expect_that!(farm.standing(0, POISON), eq(SuspectStatus::Clear));
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
        let mut farm = Farm::new(3, SERVERS);
        let mut copies = None;
        farm.report_all();
        for (kind, draw) in events {
            let entry = usize::from(draw) % 3;
            match kind {
                0 => farm.send(entry, POISON),
                1 => farm.send(entry, &format!("innocent-{}", draw % 5)),
                2 => farm.finish_all(),
                3 => farm.report_all(),
                4 => farm.break_links(&format!("innocent-{}", draw % 5)),
                5 => farm.silence(&format!("innocent-{}", draw % 5)),
                _ => farm.advance(Duration::from_millis(u64::from(draw) * 10)),
            }
            farm.crash_one(POISON);
            if shared {
                farm.share();
            }
            // Copies that were running at the second crash keep running.
            if farm.crashes == 2 && copies.is_none() {
                copies = Some(farm.copies(POISON));
            }
            let bound = if shared {
                2 + copies.unwrap_or(0)
            } else {
                2 * 3
            };
            assert!(farm.crashes <= bound, "{} servers crashed", farm.crashes);
            assert!(!farm.suspects_share_a_server(), "suspects share a server");
        }
        Ok(())
    });
    result.expect("the bound holds");
}
