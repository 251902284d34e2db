//! Tests of which entries read the platform for their zone. The pattern: hundreds of entries that would each
//! ask the platform for the same.

use azureway_core::prelude::*;
use googletest::prelude::*;

fn entries(count: usize) -> Vec<InstanceId> {
    (0..count)
        .map(|n| InstanceId::new(&format!("entry-{n}")))
        .collect()
}

fn others(all: &[InstanceId], me: &InstanceId) -> Vec<InstanceId> {
    all.iter().filter(|id| *id != me).cloned().collect()
}

fn readers(all: &[InstanceId]) -> Vec<&InstanceId> {
    let reads = |me: &&InstanceId| ZoneReaders::choose(me, &others(all, me), 0).is_none();
    all.iter().filter(reads).collect()
}

#[gtest]
fn one_entry_of_a_small_zone_reads_the_platform_and_two_of_a_large_one() {
    for (count, expected) in [
        (1, 1),
        (2, 1),
        (3, 1),
        (5, 1),
        (25, 1),
        (26, 2),
        (50, 2),
        (400, 2),
    ] {
        expect_that!(readers(&entries(count)).len(), eq(expected), "{count}");
    }
}

/// A reader that is lost is followed by one standby, which reads from then on, for all entries.
#[gtest]
fn after_a_failure_all_ask_the_standby_which_reads() {
    let all = entries(12);
    let reader = readers(&all)[0];
    let first = |me: &&InstanceId| {
        ZoneReaders::choose(me, &others(&all, me), 0).is_some_and(|r| r != reader)
    };
    expect_that!(all.iter().filter(first).count(), eq(0));
    let asked: std::collections::BTreeSet<_> = all
        .iter()
        .filter_map(|me| ZoneReaders::choose(me, &others(&all, me), 1).cloned())
        .collect();
    expect_that!(asked.len(), eq(1));
    let standby = asked.first().expect("a standby");
    expect_that!(standby, not(eq(reader)));
    for attempt in 0..4 {
        let choose = |me| ZoneReaders::choose(me, &others(&all, me), attempt).cloned();
        expect_that!(choose(reader), none(), "{attempt}");
        let asked = (attempt % 2 == 0).then(|| reader.clone());
        expect_that!(choose(standby), eq(&asked), "{attempt}");
    }
}

#[gtest]
fn the_others_ask_a_reader_and_another_one_after_a_failure() {
    let all = entries(50);
    let readers = readers(&all);
    let mut asked = std::collections::BTreeSet::new();
    for me in all.iter().filter(|id| !readers.contains(id)) {
        let known = others(&all, me);
        let first = ZoneReaders::choose(me, &known, 0).expect("a reader");
        let second = ZoneReaders::choose(me, &known, 1).expect("a reader");
        expect_true!(readers.contains(&first) && readers.contains(&second));
        expect_that!(first, not(eq(second)));
        expect_that!(ZoneReaders::choose(me, &known, 2), some(eq(first)));
        asked.insert(first.clone());
    }
    // Both readers are asked, so neither has to answer all.
    expect_that!(asked.len(), eq(2));
}

#[gtest]
fn a_lost_reader_is_replaced() {
    let all = entries(50);
    let lost = readers(&all)[0].clone();
    let left = others(&all, &lost);
    let now = readers(&left);
    expect_that!(now.len(), eq(2));
    expect_true!(!now.contains(&&lost));
}

/// An entry that no peer reaches must keep every bound by itself.
#[gtest]
fn an_entry_that_knows_no_peer_reads_the_platform() {
    let me = InstanceId::new("entry-1");
    expect_that!(ZoneReaders::choose(&me, &[], 0), none());
}
