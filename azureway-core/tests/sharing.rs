//! Tests of what entries share without a coordinator: account limits, slots and server choice.

mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::fleet::SlotShare;
use azureway_core::prelude::*;
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use support::{RouterFixture, dispatches};

/// The seed of the random cases.
const SEED: [u8; 32] = *b"azureway sharing, first seed    ";
/// The number of random cases.
const CASES: u32 = 400;
/// The number of entries that share a limit.
const ENTRIES: usize = 6;

fn runner() -> TestRunner {
    let config = Config {
        cases: CASES,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &SEED))
}

/// Exchanges the demands of the entries within each group, and returns the sum of their fractions
/// of an account's limit.
fn exchange_demands(
    shares: &mut [LimitShare],
    demands: &[u64],
    groups: &[bool],
    now: Timestamp,
) -> f64 {
    let account = AccountId::new("x");
    for side in [false, true] {
        let members = (0..ENTRIES).filter(|n| groups[*n] == side);
        let members: Vec<_> = members.collect();
        let total = members.iter().map(|n| demands[*n]).sum();
        let zone = ZoneDemand {
            zone: ZoneId::new("zone"),
            entries: u32::try_from(members.len()).expect("few"),
            age: Duration::ZERO,
            accounts: vec![account_use(&account, total)],
        };
        for member in members {
            shares[member].record_own(&[account_use(&account, demands[member])], now);
            shares[member].record(std::slice::from_ref(&zone), now);
        }
    }
    shares.iter().map(|s| s.fraction(&account, now)).sum()
}

fn account_use(account: &AccountId, demand: u64) -> AccountUse {
    AccountUse::new(account.clone(), TokenRate::new(demand), TokenRate::ZERO)
}

#[gtest]
fn limit_fractions_sum_to_at_most_one_in_every_partition() {
    let demand = || prop::collection::vec(0..1_000_u64, ENTRIES);
    let groups = || prop::collection::vec(any::<bool>(), ENTRIES);
    let rounds = prop::collection::vec((demand(), groups()), 1..6);
    let outcome = runner().run(&rounds, |rounds| {
        let mut shares = vec![LimitShare::new(); ENTRIES];
        let entries = u32::try_from(ENTRIES).expect("few");
        shares.iter_mut().for_each(|s| s.set_entries(entries));
        let mut now = Timestamp::ZERO;
        for (demands, groups) in rounds {
            // Demands received before the partition changed have expired by now.
            now = now + Duration::from_secs(6);
            let sum = exchange_demands(&mut shares, &demands, &groups, now);
            prop_assert!(sum <= 1.0 + 1e-9, "the fractions sum to {sum}");
        }
        Ok(())
    });
    outcome.expect("the limit holds in every partition");
}

#[gtest]
fn the_entry_with_all_the_demand_gets_most_of_the_limit() {
    let mut shares = vec![LimitShare::new(); ENTRIES];
    let entries = u32::try_from(ENTRIES).expect("few");
    shares.iter_mut().for_each(|s| s.set_entries(entries));
    let mut demands = [0; ENTRIES];
    demands[0] = 1_000;
    exchange_demands(&mut shares, &demands, &[true; ENTRIES], Timestamp::ZERO);
    let fraction = shares[0].fraction(&AccountId::new("x"), Timestamp::ZERO);
    expect_that!(fraction, gt(0.75));
}

/// Returns the load report of a server with `slots` slots where the entries have `in_flight`
/// requests each.
fn report(in_flight: &[u32], slots: u32) -> LoadReport {
    let all: u32 = in_flight.iter().sum();
    LoadReport {
        pace: None,
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
fn slot_shares_converge_to_equal_parts() {
    let case = (2..6_u32, 1..5_u32, prop::collection::vec(0..32_u32, 5));
    let outcome = runner().run(&case, |(entries, each, start)| {
        let slots = entries * each;
        let mut shares = vec![SlotShare::new(slots, entries); entries as usize];
        let start = start.iter().map(|f| f % (slots + 1));
        let mut in_flight: Vec<u32> = start.take(entries as usize).collect();
        in_flight.resize(entries as usize, 0);
        // Reports are one reporting interval old.
        let mut lagged = in_flight.clone();
        for round in 1..=40_u64 {
            let now = Timestamp::from_millis(round * 250);
            let report = report(&lagged, slots);
            lagged.clone_from(&in_flight);
            for (share, own) in shares.iter_mut().zip(&mut in_flight) {
                share.apply_report(&report, *own, now);
                // The entry runs as many requests as its share allows.
                *own = share.limit(now);
                prop_assert!(*own <= slots, "more than all slots");
            }
        }
        prop_assert_eq!(in_flight, vec![each; entries as usize]);
        Ok::<(), TestCaseError>(())
    });
    outcome.expect("equal parts");
}

#[gtest]
fn entries_with_the_same_stale_report_do_not_all_choose_one_server() {
    let mut counts: BTreeMap<ServerId, usize> = BTreeMap::new();
    for entry in 1..=4 {
        let mut fixture = RouterFixture::new(3, 16);
        fixture.handle(Event::ZoneEntries(4));
        for server in 1..=3 {
            let mut load = report(&[0], 16);
            load.server = ServerId::new(&format!("engine-{server}"));
            fixture.handle(Event::Load(&load));
        }
        for number in 0..4 {
            let question = format!("{entry}.{number}").repeat(2_000);
            let mut request = fixture.request("small", &["house", "shop", &question]);
            request.id = RequestId::new(entry, number);
            let sent = fixture.handle(Event::Arrived(&request));
            *counts
                .entry(dispatches(&sent)[0].server.clone())
                .or_default() += 1;
        }
    }
    // 16 requests on 3 servers: at most one and a half times an even share each.
    expect_that!(counts.values().max(), some(le(&8)));
    expect_that!(counts.len(), eq(3));
}

#[gtest]
fn replicas_decay_slowly_after_a_prefix_becomes_idle() {
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
