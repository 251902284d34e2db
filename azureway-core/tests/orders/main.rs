//! Orders to backend servers by the holder of the lease, under tabulated and random faults.

mod cluster;
mod holds;
mod late_servers;
#[path = "../support/mod.rs"]
mod support;
mod unanswered;

use std::time::Duration;

use azureway_core::prelude::*;
use cluster::{Cluster, STEP};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

/// The required limit on concurrent loads of a pool.
const LOADS_MAX: usize = 2;
/// The default rate of the weight store, in loads per second.
const STORE_RATE: usize = 4;

fn apply(cluster: &mut Cluster, step: &str) {
    let words: Vec<&str> = step.split_whitespace().collect();
    let at = usize::from(words.get(1) == Some(&"b"));
    match words[0] {
        "run" => {
            let millis: u64 = words[1].parse().expect("milliseconds");
            let steps = Duration::from_millis(millis).as_millis() / STEP.as_millis();
            for _ in 0..steps {
                let before = cluster.loaded();
                cluster.step();
                check(cluster, &before);
            }
        }
        "wants" => {
            let versions: Vec<u64> = words[1..].iter().flat_map(|w| w.parse()).collect();
            cluster.require(&versions);
        }
        "restore" => {
            let millis = words[1].parse().expect("milliseconds");
            cluster.restore(Duration::from_millis(millis));
        }
        "restart" => cluster.restart(at),
        "pause" => cluster.candidates[at].paused = true,
        "wake" => cluster.candidates[at].paused = false,
        "cut" => cluster.candidates[at].disconnected = true,
        "heal" => cluster.candidates[at].disconnected = false,
        "lose" => cluster.candidates[at].drop_reply = true,
        "hold" => cluster.candidates[at].hold_order = true,
        "leave" => cluster.leave(usize::from(words[1].as_bytes()[1] - b'1')),
        "servers" => cluster.keep_servers(words[1].parse().expect("a number")),
        "land" => cluster.deliver_late_orders(),
        "crash" => cluster.crash(usize::from(words[1].as_bytes()[1] - b'1')),
        word => panic!("unknown step {word}"),
    }
}

/// Checks the invariants that hold after every step.
fn check(cluster: &Cluster, before: &std::collections::BTreeMap<WeightsVersion, usize>) {
    let loading = cluster.servers.iter().filter(|s| s.loading.is_some());
    assert!(loading.count() <= LOADS_MAX, "too many concurrent loads");
    assert!(
        !cluster.stale_order,
        "a server accepted an order of a previous holder"
    );
    assert!(
        !cluster.cooldown_violated,
        "an unfenced server accepted orders of two holders within the cooldown"
    );
    assert!(
        !cluster.loaded().is_empty() || before.is_empty(),
        "no server can serve requests"
    );
    for weights in before.keys().filter(|w| cluster.requires(**w)) {
        let loaded = cluster.loaded().contains_key(weights);
        assert!(
            loaded,
            "the last server with {weights} was ordered to load others"
        );
    }
    let second = Duration::from_secs(1);
    let recent = cluster
        .load_starts
        .iter()
        .filter(|t| **t + second > cluster.now);
    assert!(
        recent.count() <= STORE_RATE,
        "the rate of the weight store is exceeded"
    );
}

/// The lease of a site of the users' platform: the longest term that it allows, a third of
/// it as margin, a cooldown of one term, and one process of an instance at a time.
const SITE_LEASE: LeaseConfig = LeaseConfig::new()
    .with_term(Duration::from_secs(3), Duration::from_secs(1))
    .with_cooldown(Duration::from_secs(3))
    .with_single_process();

#[gtest]
fn every_row_of_the_table_is_satisfied() {
    check_table(
        include_str!("../../testdata/orders.txt"),
        LeaseConfig::new(),
    );
}

#[gtest]
fn every_row_of_the_site_table_is_satisfied() {
    check_table(include_str!("../../testdata/site_orders.txt"), SITE_LEASE);
}

fn check_table(table: &str, config: LeaseConfig) {
    for row in table.lines() {
        if row.starts_with('#') {
            continue;
        }
        let columns: Vec<&str> = row.split('|').map(str::trim).collect();
        let mut cluster = Cluster::new(config);
        for step in columns[2].split(';') {
            apply(&mut cluster, step);
        }
        let weights: Vec<_> = cluster
            .servers
            .iter()
            .map(|s| s.weights.to_string())
            .collect();
        expect_that!(weights.join(" "), eq(columns[3]), "{row}");
        expect_that!(cluster.number().to_string(), eq(columns[4]), "{row}");
    }
}

/// The steps that are chosen at random.
const STEPS: [&str; 16] = [
    "run 400",
    "run 3000",
    "run 9000",
    "run 16000",
    "pause a",
    "pause b",
    "wake a",
    "wake b",
    "cut a",
    "cut b",
    "heal a",
    "heal b",
    "lose a",
    "lose b",
    "restart a",
    "restart b",
];
/// The restores of the store that are chosen at random beside the steps.
const RESTORES: [&str; 4] = [
    "restore 0",
    "restore 900",
    "restore 5000",
    "restore 3600000",
];
/// The configurations that are chosen at random.
const WANTS: [&str; 4] = ["wants 1", "wants 2", "wants 1 2", "wants 3"];
/// The seed of the random cases.
const SEED: [u8; 32] = [23; 32];

#[gtest]
fn random_faults_leave_one_holder_and_the_required_weights() {
    check_random_faults(LeaseConfig::new(), &STEPS);
}

#[gtest]
fn random_faults_leave_one_holder_of_a_site_lease() {
    check_random_faults(SITE_LEASE, &STEPS);
}

/// Guards against two holders at a time, and against fencing numbers that go back, after the store
/// was restored from a copy that is older than the lease or than its last change of holders.
#[gtest]
fn random_restores_leave_one_holder_and_the_required_weights() {
    let steps = [&STEPS[..], &RESTORES, &RESTORES].concat();
    check_random_faults(LeaseConfig::new(), &steps);
    check_random_faults(SITE_LEASE, &steps);
}

fn check_random_faults(lease: LeaseConfig, steps: &[&'static str]) {
    let config = Config {
        cases: 400,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let faults = prop::collection::vec(prop::sample::select(steps.to_vec()), 2..16);
    let wants = prop::collection::vec((0..16_usize, prop::sample::select(&WANTS[..])), 1..4);
    let count = prop::sample::select(&["servers 2", "servers 3", "servers 4"][..]);
    let cases = (count, faults, wants);
    let result = TestRunner::new_with_rng(config, rng).run(&cases, |(count, mut steps, wants)| {
        for (index, want) in wants {
            steps.insert(index.min(steps.len()), want);
        }
        let mut cluster = Cluster::new(lease);
        apply(&mut cluster, count);
        for step in steps {
            apply(&mut cluster, step);
        }
        for step in [
            "wake a",
            "wake b",
            "heal a",
            "heal b",
            "wants 2",
            "run 60000",
        ] {
            apply(&mut cluster, step);
        }
        prop_assert!(
            cluster
                .servers
                .iter()
                .all(|s| s.weights == WeightsVersion::new(2))
        );
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

#[gtest]
fn a_holder_stops_at_the_margin_for_unfenced_servers() {
    let config = LeaseConfig::new();
    let mut lease = Lease::new(config, InstanceId::new("a"), 1);
    let start = Timestamp::from_millis(100);
    lease.handle_reply(&LeaseReply::Absent, start);
    expect_that!(
        lease.next(start),
        matches_pattern!(LeaseStep::Write(eq(&0), anything()))
    );
    // The response is slow; the term is measured from before the write was sent.
    lease.handle_reply(&LeaseReply::Written(1), start + config.margin);
    let end = start + config.term;
    let margin_start = start + (config.term - config.margin);
    let tick = Duration::from_micros(1);
    expect_that!(lease.fencing_number(margin_start, false), none());
    expect_that!(
        lease.fencing_number(start + (config.term - config.margin - tick), false),
        some(anything())
    );
    expect_that!(
        lease.fencing_number(margin_start, true),
        some(eq(FencingNumber::new(1)))
    );
    expect_that!(lease.fencing_number(end, true), none());
}

#[gtest]
fn a_selection_changes_by_one_entry_if_a_selected_entry_stops() {
    let live: Vec<InstanceId> = (0..9)
        .map(|n| InstanceId::new(&format!("entry-{n}")))
        .collect();
    let selector = EntrySelector::new(2, 1);
    let selected = |live: &[InstanceId]| -> Vec<InstanceId> {
        live.iter()
            .filter(|id| selector.includes(id, live))
            .cloned()
            .collect()
    };
    let first = selected(&live);
    expect_that!(first.len(), eq(2));
    let rest: Vec<_> = live.iter().filter(|id| **id != first[0]).cloned().collect();
    let second = selected(&rest);
    expect_that!(second.len(), eq(2));
    expect_that!(second, contains(eq(&first[1])));
    let alone = [first[0].clone()];
    expect_that!(selector.includes(&alone[0], &[]), eq(true));
}
