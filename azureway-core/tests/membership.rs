//! Membership of groups of entry instances under faults.

mod group;

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;
use group::{Group, id, zone};
use proptest::prelude::{ProptestConfig, any};
use proptest::test_runner::{RngAlgorithm, TestRng, TestRunner};

const CASES: &str = include_str!("../testdata/membership.txt");
const ZONES: usize = 3;
const ENTRIES: usize = 3;

#[gtest]
fn every_guarantee_holds_under_its_faults() {
    let cases = CASES
        .lines()
        .filter(|l| !l.is_empty() && !l.starts_with('#'));
    for case in cases {
        let mut parts = case.split('|').map(str::trim);
        let (guarantee, faults) = (
            parts.next().expect("a guarantee"),
            parts.next().expect("faults"),
        );
        let mut group = Group::new(ZONES, ENTRIES, 11);
        let mut invariants = Invariants::default();
        for step in faults.split(';') {
            apply(&mut group, &mut invariants, step.trim());
        }
        for expected in parts.next().expect("what must hold").split(';') {
            check(&group, expected.trim(), &format!("{guarantee} | {faults}"));
        }
    }
}

/// The invariants that are checked after every event: while a process runs, its configuration
/// version and incarnation never decrease, and no unpublished version takes effect.
#[derive(Default)]
struct Invariants {
    latest: BTreeMap<(InstanceId, Timestamp), (ConfigVersion, Incarnation)>,
}

impl Invariants {
    fn check(&mut self, group: &Group) {
        for (id, node) in &group.nodes {
            let now = (node.core.version(), node.core.me().incarnation);
            let process = (id.clone(), node.started);
            let before = self.latest.insert(process, now).unwrap_or_default();
            assert!(now.0 >= before.0, "{id}: the version decreases");
            assert!(now.1 >= before.1, "{id}: the incarnation decreases");
            assert!(
                now.0 <= group.published,
                "{id}: a version that was not published"
            );
            assert!(
                node.core.live_count() as usize <= ENTRIES,
                "{id}: counts too many live instances"
            );
        }
    }
}

fn apply(group: &mut Group, invariants: &mut Invariants, step: &str) {
    let words: Vec<&str> = step.split_whitespace().collect();
    let ids = |words: &[&str]| ids(words);
    match words.as_slice() {
        ["wait", seconds] => {
            let time = Duration::from_secs(seconds.parse().expect("seconds"));
            group.run(time, |g| invariants.check(g));
        }
        ["platform", state] => group.set_platform(*state == "up"),
        ["publish", version] => {
            group.publish(ConfigVersion::new(version.parse().expect("a version")));
        }
        ["offline", number] => group.set_offline(&zone(number.parse().expect("a zone")), true),
        ["cut", "zone", number] => group.cut_zone(&zone(number.parse().expect("a zone")), true),
        ["cut", "node", name] => group.cut_node(&ids(&[name])[0], true),
        ["join"] => heal_network(group),
        ["pause", name, seconds] => {
            let time = Duration::from_secs(seconds.parse().expect("seconds"));
            group.pause(&ids(&[name])[0], time);
        }
        ["restart", rest @ ..] => ids(rest).iter().for_each(|i| group.start(i)),
        ["kill", rest @ ..] => ids(rest).iter().for_each(|i| group.kill(i)),
        ["leave", rest @ ..] => ids(rest).iter().for_each(|i| {
            group.handle_event(i, PeerEvent::Leaving);
        }),
        other => panic!("unknown step {other:?}"),
    }
}

fn heal_network(group: &mut Group) {
    for number in 0..ZONES {
        group.cut_zone(&zone(number), false);
        group.set_offline(&zone(number), false);
        (0..ENTRIES).for_each(|n| group.cut_node(&id(number, n), false));
    }
}

fn check(group: &Group, expected: &str, case: &str) {
    let words: Vec<&str> = expected.split_whitespace().collect();
    let (last, names) = words[1..].split_last().expect("words");
    let number = || last.parse::<u64>().expect("a number");
    match words[0] {
        "version" => assert_each(
            group,
            names,
            |n| n.core.version().get() == number(),
            case,
            expected,
        ),
        "count" => assert_each(
            group,
            names,
            |n| u64::from(n.core.live_count()) == number(),
            case,
            expected,
        ),
        "ready" => {
            let limit = Duration::from_millis(number());
            let in_time = |n: &group::Node| n.ready_at.is_some_and(|t| t.since(n.started) <= limit);
            assert_each(group, names, in_time, case, expected);
        }
        "unready" => assert_each(group, &words[1..], |n| n.ready_at.is_none(), case, expected),
        "newer" => assert_each(
            group,
            &words[1..],
            |n| n.core.me().incarnation.get() > n.started.as_micros(),
            case,
            expected,
        ),
        "state" => {
            let (viewer, peer) = (&ids(&names[..1])[0], &ids(&names[1..2])[0]);
            let known = group.nodes[viewer].core.peers().get(peer).expect("a peer");
            let found = format!("{:?}", known.latest.liveness).to_lowercase();
            assert_eq!(found, *last, "{case}: {expected}");
        }
        other => panic!("unknown check {other}"),
    }
}

fn assert_each(
    group: &Group,
    names: &[&str],
    holds: impl Fn(&group::Node) -> bool,
    case: &str,
    expected: &str,
) {
    for id in ids(names) {
        let node = &group.nodes[&id];
        let (version, count) = (node.core.version(), node.core.live_count());
        assert!(
            holds(node),
            "{case}: {expected}; {id} has version {version}, counts {count}, ready at {:?} after {:?}",
            node.ready_at,
            node.started
        );
    }
}

fn ids(words: &[&str]) -> Vec<InstanceId> {
    match words {
        ["all"] => (0..ZONES)
            .flat_map(|z| (0..ENTRIES).map(move |n| id(z, n)))
            .collect(),
        ["zone", number] => {
            let number = number.parse().expect("a zone");
            (0..ENTRIES).map(|n| id(number, n)).collect()
        }
        names => names
            .iter()
            .map(|name| {
                let (zone, number) = name.split_once('.').expect("ZONE.NUMBER");
                id(
                    zone.parse().expect("a zone"),
                    number.parse().expect("a number"),
                )
            })
            .collect(),
    }
}

/// The faults that are combined in pairs.
const FAULTS: [&str; 10] = [
    "platform down",
    "offline 0",
    "cut zone 0",
    "cut node 0.1",
    "pause 0.1 20",
    "restart 0.1",
    "restart zone 0",
    "kill 1.2",
    "publish 8",
    "leave 2.0",
];

/// Injects two faults at once or one after the other. The invariants hold after every event, and
/// all instances agree after the faults end.
#[test]
fn instances_agree_after_two_faults() {
    let config = ProptestConfig {
        cases: 48,
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[43; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let pairs = (0..FAULTS.len(), 0..FAULTS.len(), 0..30u64, any::<u64>());
    let result = runner.run(&pairs, |(one, two, between, seed)| {
        let mut group = Group::new(ZONES, ENTRIES, seed);
        let mut invariants = Invariants::default();
        for step in [
            "wait 20",
            FAULTS[one],
            &format!("wait {between}"),
            FAULTS[two],
            "wait 30",
        ] {
            apply(&mut group, &mut invariants, step);
        }
        group.heal();
        for id in ids(&["2.0"]).iter().filter(|_| one == 9 || two == 9) {
            group.start(id);
        }
        group.run(Duration::from_secs(60), |g| invariants.check(g));
        for (id, node) in &group.nodes {
            assert_eq!(node.core.version(), group.published, "{id}: the version");
            assert_eq!(node.core.live_count() as usize, ENTRIES, "{id}: the count");
        }
        Ok(())
    });
    result.expect("the instances agree");
}
