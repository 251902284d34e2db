//! Groups of entry instances under faults.

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
fn every_promise_holds_under_its_fault() {
    let cases = CASES
        .lines()
        .filter(|l| !l.is_empty() && !l.starts_with('#'));
    for case in cases {
        let mut parts = case.split('|').map(str::trim);
        let (promise, faults) = (
            parts.next().expect("a promise"),
            parts.next().expect("faults"),
        );
        let mut group = Group::new(ZONES, ENTRIES, 11);
        let mut watch = Watch::default();
        for step in faults.split(';') {
            apply(&mut group, &mut watch, step.trim());
        }
        for wanted in parts.next().expect("what must hold").split(';') {
            check(&group, wanted.trim(), &format!("{promise} | {faults}"));
        }
    }
}

/// What must hold after every event: no version or incarnation of a life goes back, and no
/// version is in force that was never published.
#[derive(Default)]
struct Watch {
    seen: BTreeMap<(InstanceId, Timestamp), (ConfigVersion, Incarnation)>,
}

impl Watch {
    fn check(&mut self, group: &Group) {
        for (id, node) in &group.nodes {
            let now = (node.core.version(), node.core.me().incarnation);
            let life = (id.clone(), node.started);
            let before = self.seen.insert(life, now).unwrap_or_default();
            assert!(now.0 >= before.0, "{id}: the version goes back");
            assert!(now.1 >= before.1, "{id}: the incarnation goes back");
            assert!(now.0 <= group.published, "{id}: an unknown version");
            assert!(node.core.live_count() as usize <= ENTRIES, "{id}: too many");
        }
    }
}

fn apply(group: &mut Group, watch: &mut Watch, step: &str) {
    let words: Vec<&str> = step.split_whitespace().collect();
    let ids = |words: &[&str]| ids(words);
    match words.as_slice() {
        ["wait", seconds] => {
            let time = Duration::from_secs(seconds.parse().expect("seconds"));
            group.run(time, |g| watch.check(g));
        }
        ["platform", state] => group.set_platform(*state == "up"),
        ["publish", version] => {
            group.publish(ConfigVersion::new(version.parse().expect("a version")));
        }
        ["offline", number] => group.set_offline(&zone(number.parse().expect("a zone")), true),
        ["cut", "zone", number] => group.cut_zone(&zone(number.parse().expect("a zone")), true),
        ["cut", "node", name] => group.cut_node(&ids(&[name])[0], true),
        ["join"] => join(group),
        ["pause", name, seconds] => {
            let time = Duration::from_secs(seconds.parse().expect("seconds"));
            group.pause(&ids(&[name])[0], time);
        }
        ["restart", rest @ ..] => ids(rest).iter().for_each(|i| group.start(i)),
        ["kill", rest @ ..] => ids(rest).iter().for_each(|i| group.kill(i)),
        ["leave", rest @ ..] => ids(rest).iter().for_each(|i| {
            group.tell(i, PeerEvent::Leaving);
        }),
        other => panic!("unknown step {other:?}"),
    }
}

fn join(group: &mut Group) {
    for number in 0..ZONES {
        group.cut_zone(&zone(number), false);
        group.set_offline(&zone(number), false);
        (0..ENTRIES).for_each(|n| group.cut_node(&id(number, n), false));
    }
}

fn check(group: &Group, wanted: &str, case: &str) {
    let words: Vec<&str> = wanted.split_whitespace().collect();
    let (last, names) = words[1..].split_last().expect("words");
    let number = || last.parse::<u64>().expect("a number");
    match words[0] {
        "version" => each(
            group,
            names,
            |n| n.core.version().get() == number(),
            case,
            wanted,
        ),
        "count" => each(
            group,
            names,
            |n| u64::from(n.core.live_count()) == number(),
            case,
            wanted,
        ),
        "ready" => {
            let limit = Duration::from_millis(number());
            let quick = |n: &group::Node| n.ready_at.is_some_and(|t| t.since(n.started) <= limit);
            each(group, names, quick, case, wanted);
        }
        "unready" => each(group, &words[1..], |n| n.ready_at.is_none(), case, wanted),
        "newer" => each(
            group,
            &words[1..],
            |n| n.core.me().incarnation.get() > n.started.as_micros(),
            case,
            wanted,
        ),
        "state" => {
            let (viewer, peer) = (&ids(&names[..1])[0], &ids(&names[1..2])[0]);
            let known = group.nodes[viewer].core.peers().get(peer).expect("a peer");
            let found = format!("{:?}", known.latest.liveness).to_lowercase();
            assert_eq!(found, *last, "{case}: {wanted}");
        }
        other => panic!("unknown check {other}"),
    }
}

fn each(
    group: &Group,
    names: &[&str],
    holds: impl Fn(&group::Node) -> bool,
    case: &str,
    wanted: &str,
) {
    for id in ids(names) {
        let node = &group.nodes[&id];
        let (version, count) = (node.core.version(), node.core.live_count());
        assert!(
            holds(node),
            "{case}: {wanted}; {id} has version {version}, counts {count}, ready at {:?} after {:?}",
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

/// The faults that are drawn in pairs.
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

/// Two faults together or one after the other. No version or incarnation goes back at any
/// event, and when the faults end all instances agree.
#[test]
fn two_faults_at_once_leave_one_view() {
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
        let mut watch = Watch::default();
        for step in [
            "wait 20",
            FAULTS[one],
            &format!("wait {between}"),
            FAULTS[two],
            "wait 30",
        ] {
            apply(&mut group, &mut watch, step);
        }
        group.heal();
        for place in ids(&["2.0"]).iter().filter(|_| one == 9 || two == 9) {
            group.start(place);
        }
        group.run(Duration::from_secs(60), |g| watch.check(g));
        for (id, node) in &group.nodes {
            assert_eq!(node.core.version(), group.published, "{id}: the version");
            assert_eq!(node.core.live_count() as usize, ENTRIES, "{id}: the count");
        }
        Ok(())
    });
    result.expect("the groups agree");
}
