//! What entries decide alike without a coordinator: limits, slots and the choice of servers.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::fleet::SlotShare;
use azureway_core::prelude::*;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use support::{Bench, orders};

/// The seed of the drawn cases.
const SEED: [u8; 32] = *b"azureway sharing, first seed    ";
/// The drawn cases.
const CASES: u32 = 400;
/// The entries that share.
const ENTRIES: usize = 6;

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

fn instance(number: usize) -> InstanceId {
    InstanceId::new(&format!("entry-{number}"))
}

/// Lets entries tell one another their demand within their groups, and returns the sum of
/// their parts of an account's limit.
fn parts(shares: &mut [LimitShare], demands: &[u64], groups: &[bool], now: Timestamp) -> f64 {
    let account = AccountId::new("x");
    for speaker in 0..ENTRIES {
        let rates = vec![(account.clone(), TokenRate::new(demands[speaker]))];
        let demand = Demand {
            instance: instance(speaker),
            rates,
        };
        for hearer in (0..ENTRIES).filter(|h| *h != speaker && groups[*h] == groups[speaker]) {
            shares[hearer].record(&demand, now);
        }
    }
    let part = |(n, s): (usize, &LimitShare)| s.fraction(&account, demands[n] as f64, now);
    shares.iter().enumerate().map(part).sum()
}

#[gtest]
fn the_parts_of_a_limit_stay_within_it_in_every_partition() {
    let demand = || prop::collection::vec(0..1_000_u64, ENTRIES);
    let groups = || prop::collection::vec(any::<bool>(), ENTRIES);
    let rounds = prop::collection::vec((demand(), groups()), 1..6);
    let outcome = runner().run(&rounds, |rounds| {
        let mut shares = vec![LimitShare::new(); ENTRIES];
        let entries = u32::try_from(ENTRIES).expect("few");
        shares.iter_mut().for_each(|s| s.set_entries(entries));
        let mut now = Timestamp::ZERO;
        for (demands, groups) in rounds {
            // What was heard before the partition changed no longer counts.
            now = now + Duration::from_secs(6);
            let sum = parts(&mut shares, &demands, &groups, now);
            prop_assert!(sum <= 1.0 + 1e-9, "the parts sum up to {sum}");
        }
        Ok(())
    });
    outcome.expect("the limit holds in every partition");
}

#[gtest]
fn the_entry_that_is_asked_gets_most_of_a_limit() {
    let mut shares = vec![LimitShare::new(); ENTRIES];
    let entries = u32::try_from(ENTRIES).expect("few");
    shares.iter_mut().for_each(|s| s.set_entries(entries));
    let mut demands = [0; ENTRIES];
    demands[0] = 1_000;
    parts(&mut shares, &demands, &[true; ENTRIES], Timestamp::ZERO);
    let part = shares[0].fraction(&AccountId::new("x"), 1_000.0, Timestamp::ZERO);
    expect_that!(part, gt(0.75));
}

/// A server and the requests that each entry has there.
fn report(flights: &[u32], slots: u32) -> LoadReport {
    let all: u32 = flights.iter().sum();
    LoadReport {
        server: ServerId::new("engine-1"),
        incarnation: Incarnation::new(1),
        weights: WeightsVersion::new(1),
        running: all.min(slots),
        queued: all.saturating_sub(slots),
        pending: TokenCount::ZERO,
        leaving: false,
    }
}

#[gtest]
fn entries_that_all_want_slots_come_to_equal_parts() {
    let case = (2..6_u32, 1..5_u32, prop::collection::vec(0..32_u32, 5));
    let outcome = runner().run(&case, |(entries, each, start)| {
        let slots = entries * each;
        let mut shares = vec![SlotShare::new(slots, entries); entries as usize];
        let start = start.iter().map(|f| f % (slots + 1));
        let mut flights: Vec<u32> = start.take(entries as usize).collect();
        flights.resize(entries as usize, 0);
        // A report lags by the time between two of them.
        let mut late = flights.clone();
        for round in 1..=40_u64 {
            let now = Timestamp::from_millis(round * 250);
            let report = report(&late, slots);
            late.clone_from(&flights);
            for (share, own) in shares.iter_mut().zip(&mut flights) {
                share.apply_report(&report, *own, now);
                // What is over the part ends; what is below it is filled.
                *own = share.limit(now);
                prop_assert!(*own <= slots, "more than all slots");
            }
        }
        prop_assert_eq!(flights, vec![each; entries as usize]);
        Ok::<(), TestCaseError>(())
    });
    outcome.expect("equal parts");
}

#[gtest]
fn entries_with_the_same_stale_report_do_not_all_choose_one_server() {
    let mut counts: BTreeMap<ServerId, usize> = BTreeMap::new();
    for entry in 1..=4 {
        let mut bench = Bench::new(3, 16);
        bench.tell(Event::ZoneEntries(4));
        for server in 1..=3 {
            let mut load = report(&[0], 16);
            load.server = ServerId::new(&format!("engine-{server}"));
            bench.tell(Event::Load(&load));
        }
        for number in 0..4 {
            let question = format!("{entry}.{number}").repeat(2_000);
            let mut request = bench.request("small", &["house", "shop", &question]);
            request.id = RequestId::new(entry, number);
            let sent = bench.tell(Event::Arrived(&request));
            *counts.entry(orders(&sent)[0].server.clone()).or_default() += 1;
        }
    }
    // Sixteen requests for three servers: an even third, and half as much again at most.
    expect_that!(counts.values().max(), some(le(&8)));
    expect_that!(counts.len(), eq(3));
}

#[gtest]
fn a_prefix_that_cools_down_keeps_its_replicas_for_a_while() {
    let (mut scaler, prefix) = (ReplicaScaler::new(), PrefixKey::new(7));
    let now = Timestamp::from_millis(1);
    (0..32).for_each(|_| scaler.begin(prefix, now));
    expect_that!(scaler.replicas(prefix, 16, 1, now), eq(4));
    expect_that!(scaler.replicas(prefix, 16, 2, now), eq(8));
    (0..32).for_each(|_| scaler.end(prefix, now));
    let later = |seconds| now + Duration::from_secs(seconds);
    expect_that!(scaler.replicas(prefix, 16, 1, later(5)), eq(2));
    expect_that!(scaler.replicas(prefix, 16, 1, later(30)), eq(1));
}
