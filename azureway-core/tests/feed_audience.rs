//! Tests of which entries read the feed of a backend server. The pattern: hundreds of entries in front
//! of servers that hold few polls at once.

use azureway_core::prelude::*;
use googletest::prelude::*;

/// The number of polls that a server holds at once.
const LIMIT: u32 = 8;

fn entries(count: usize, zones: usize) -> Vec<(InstanceId, ZoneId)> {
    let entry = |n: usize| {
        let zone = ZoneId::new(&format!("zone-{}", n % zones));
        (InstanceId::new(&format!("entry-{n}")), zone)
    };
    (0..count).map(entry).collect()
}

fn server(number: usize, zone: usize) -> BackendServer {
    let id = ServerId::new(&format!("engine-{number}"));
    let zone = ZoneId::new(&format!("zone-{zone}"));
    BackendServer::new(
        id,
        PoolId::new("engines"),
        zone,
        ([127, 0, 0, 1], 9_000).into(),
    )
}

/// Returns the entries that read a server's feed, of `all` that know of one another.
fn readers(all: &[(InstanceId, ZoneId)], server: &BackendServer) -> Vec<(InstanceId, ZoneId)> {
    let reads = |(id, zone): &&(InstanceId, ZoneId)| {
        let others = all
            .iter()
            .filter(|(other, _)| other != id)
            .cloned()
            .collect();
        FeedAudience::new(id.clone(), zone.clone(), others).includes(server, LIMIT)
    };
    all.iter().filter(reads).cloned().collect()
}

#[gtest]
fn a_small_fleet_reads_every_feed() {
    let all = entries(8, 3);
    expect_that!(readers(&all, &server(1, 0)), eq(&all));
}

/// Guards against polls that grow with the product of entries and servers, and that servers reject.
#[gtest]
fn a_large_fleet_has_each_feed_read_by_a_few_of_the_servers_zone() {
    for count in [23, 75, 295, 1_000] {
        let all = entries(count, 6);
        for number in 0..20 {
            let server = server(number, number % 6);
            let readers = readers(&all, &server);
            expect_that!(readers.len(), all!(ge(3), le(4)), "{count} {number}");
            let near = readers.iter().all(|(_, zone)| *zone == server.zone);
            expect_true!(near, "{count} {number}");
        }
    }
}

#[gtest]
fn feeds_are_spread_over_the_entries_of_a_zone() {
    let all = entries(295, 6);
    let mut counts = std::collections::BTreeMap::new();
    for number in 0..160 {
        for (id, _) in readers(&all, &server(number, number % 6)) {
            *counts.entry(id).or_insert(0) += 1;
        }
    }
    expect_that!(counts.values().max(), some(le(&10)));
}

/// Guards against a feed that nobody reads after a reader was lost, or after a whole zone was.
#[gtest]
fn a_lost_reader_is_replaced() {
    let all = entries(75, 6);
    let server = server(1, 2);
    let (lost, _) = &readers(&all, &server)[0];
    let left: Vec<_> = all.iter().filter(|(id, _)| id != lost).cloned().collect();
    expect_that!(readers(&left, &server).len(), eq(4));
    let left: Vec<_> = all
        .iter()
        .filter(|(_, z)| *z != server.zone)
        .cloned()
        .collect();
    expect_that!(readers(&left, &server).len(), eq(4));
}

/// Entries whose views differ still find places: none of them sees those in the other zones.
#[gtest]
fn half_of_the_entries_unseen_leaves_places_for_all_readers() {
    let all = entries(75, 6);
    let server = server(1, 2);
    let (one, two) = all.split_at(37);
    let count = readers(one, &server).len() + readers(two, &server).len();
    expect_that!(count, le(LIMIT as usize));
}
