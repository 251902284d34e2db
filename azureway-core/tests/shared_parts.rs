//! Tests of where the cached blocks of a prefix are fetched from and saved to: by entries that know
//! nothing yet, after the holder is lost, over slow links and around new weights.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_core::route::{Locality, Transfer};
use googletest::prelude::*;
use support::{RouterFixture, dispatches, fleet};

/// The length of a prompt level in bytes: two thousand tokens in one block.
const LEVEL: usize = 8_000;
/// A link, in megabits per second, over which a prefix takes a few milliseconds.
const FAST: u64 = 100_000;
/// A link over which a prefix takes minutes.
const SLOW: u64 = 10;

/// Returns a fleet of four servers with stated links and a store in each of two regions.
fn shared_fleet(link: u64, version: u64) -> Fleet {
    let mut fleet = fleet(4, 8).with_version(ConfigVersion::new(version));
    let zone = |name, region| AvailabilityZone::new(ZoneId::new(name), region);
    fleet = fleet.with_zone(zone("a", "r1")).with_zone(zone("b", "r2"));
    for server in fleet.servers.values_mut() {
        server.listed = Some(listed(1));
        server.capacity = Some(EngineCapacity {
            memory: TokenCount::new(100_000),
            token_bytes: 18_432,
            link,
        });
    }
    let service = fleet.services.get_mut(&ServiceId::new("advice"));
    let service = service.expect("the service");
    service.peer_fetch = true;
    service.stores = vec![store("b", 2), store("a", 1)];
    fleet
}

fn store(zone: &str, number: u8) -> CacheStore {
    CacheStore {
        address: ([10, 0, 0, number], 90).into(),
        zone: ZoneId::new(zone),
    }
}

fn store_address(number: u8) -> Option<SocketAddr> {
    Some(store("a", number).address)
}

/// Returns the listed state of a server with weights 1.
fn listed(incarnation: u64) -> ListedState {
    ListedState {
        incarnation: Incarnation::new(incarnation),
        weights: Some(WeightsVersion::new(1)),
    }
}

fn fixture(fleet: &Fleet) -> RouterFixture {
    let mut fixture = RouterFixture::new(4, 8);
    fixture.handle(Event::Configured(fleet));
    fixture
}

/// Sends a request and returns its dispatch.
fn send(fixture: &mut RouterFixture) -> (Request, Dispatch) {
    let (shared, own) = ("s".repeat(LEVEL), "o".repeat(LEVEL));
    let request = fixture.request("small", &[&shared, &own, "question"]);
    let out = fixture.handle(Event::Arrived(&request));
    let dispatch = dispatches(&out).first().map(|d| (*d).clone());
    (request, dispatch.expect("a dispatch"))
}

/// Confirms that `server` holds all blocks of `request`.
fn confirm(fixture: &mut RouterFixture, server: &ServerId, incarnation: u64, request: &Request) {
    let blocks = request.prompt.blocks().iter();
    let ops: Vec<CacheOp> = blocks.map(|b| CacheOp::Stored(b.key)).collect();
    fixture.handle(Event::Cache(&CacheUpdate {
        server,
        incarnation: Incarnation::new(incarnation),
        first: 0,
        snapshot: false,
        ops: &ops,
    }));
}

#[gtest]
fn an_entry_that_knows_no_holder_uses_the_store_of_the_region() {
    let (_, dispatch) = send(&mut fixture(&shared_fleet(FAST, 2)));
    expect_that!(dispatch.fetch_from, eq(store_address(1)));
    expect_that!(dispatch.save_to, eq(store_address(1)));
}

#[gtest]
fn a_server_that_is_sent_the_prefix_again_saves_it_once() {
    let mut fixture = fixture(&shared_fleet(FAST, 2));
    send(&mut fixture);
    let (_, again) = send(&mut fixture);
    expect_that!(again.save_to, none());
    // The server's own events have not confirmed the blocks yet.
    expect_that!(again.fetch_from, eq(store_address(1)));
}

#[gtest]
fn a_confirmed_holder_needs_no_fetch() {
    let mut fixture = fixture(&shared_fleet(FAST, 2));
    let (request, dispatch) = send(&mut fixture);
    confirm(&mut fixture, &dispatch.server, 1, &request);
    let (_, again) = send(&mut fixture);
    expect_that!(again.server, eq(&dispatch.server));
    expect_that!((again.fetch_from, again.save_to), eq((None, None)));
}

#[gtest]
fn the_store_replaces_a_holder_that_is_lost() {
    let mut fixture = fixture(&shared_fleet(FAST, 2));
    let (request, dispatch) = send(&mut fixture);
    confirm(&mut fixture, &dispatch.server, 1, &request);
    let mut without = shared_fleet(FAST, 3);
    without.servers.remove(&dispatch.server);
    fixture.handle(Event::Configured(&without));
    let (_, again) = send(&mut fixture);
    expect_that!(again.server, not(eq(&dispatch.server)));
    expect_that!(again.fetch_from, eq(store_address(1)));
}

#[gtest]
fn a_holder_that_restarted_counts_as_empty() {
    let mut fixture = fixture(&shared_fleet(FAST, 2));
    let (request, dispatch) = send(&mut fixture);
    confirm(&mut fixture, &dispatch.server, 1, &request);
    let mut restarted = shared_fleet(FAST, 3);
    let server = restarted.servers.get_mut(&dispatch.server);
    server.expect("the holder").listed = Some(listed(2));
    fixture.handle(Event::Configured(&restarted));
    let (_, again) = send(&mut fixture);
    expect_that!(again.fetch_from, eq(store_address(1)));
}

#[gtest]
fn blocks_are_computed_where_the_link_is_slower() {
    let (_, dispatch) = send(&mut fixture(&shared_fleet(SLOW, 2)));
    expect_that!(dispatch.save_to, none());
    expect_that!(dispatch.fetch_from, none());
}

#[gtest]
fn a_transfer_gains_less_the_farther_it_goes() {
    let capacity = EngineCapacity {
        memory: TokenCount::new(100_000),
        token_bytes: 327_680,
        link: 160_000,
    };
    let (tokens, rate) = (TokenCount::new(3_780), TokenRate::new(50_700));
    let gain = |distance| Transfer::new(tokens, Some(capacity), distance).gain(rate);
    let gains = Locality::ALL.map(|distance| gain(distance).as_millis());
    // Computing takes 74 ms, a transfer 61 ms within a zone.
    expect_that!(gains, eq([87, 25, 0]));
    let unstated = Transfer::new(tokens, None, Locality::Remote);
    expect_that!(unstated.time, eq(Duration::ZERO));
}

#[gtest]
fn blocks_of_superseded_weights_stay_out_of_the_store() {
    let mut newer = shared_fleet(FAST, 2);
    let service = newer.services.get_mut(&ServiceId::new("advice"));
    let service = service.expect("the service");
    service.weights = WeightsVersion::new(2);
    service.rollout = Some(Rollout {
        model: ModelId::new("m"),
        versions: [1, 2]
            .map(|v| (WeightsVersion::new(v), Timestamp::ZERO))
            .into_iter()
            .collect(),
        grace: Duration::from_secs(10),
        margin: Duration::from_secs(1),
        undisturbed: Timestamp::ZERO,
        retired: None,
    });
    let (_, dispatch) = send(&mut fixture(&newer));
    expect_that!(dispatch.weights, eq(WeightsVersion::new(1)));
    expect_that!(dispatch.save_to, none());
    let stores = [store_address(1), store_address(2)];
    expect_that!(stores.contains(&dispatch.fetch_from), eq(false));
}

#[gtest]
fn without_stores_blocks_come_from_other_servers_only() {
    let mut without = shared_fleet(FAST, 2);
    let service = without.services.get_mut(&ServiceId::new("advice"));
    service.expect("the service").stores.clear();
    let mut fixture = fixture(&without);
    let (_, dispatch) = send(&mut fixture);
    let addresses: Vec<_> = without.servers.values().map(|s| s.address).collect();
    let source = dispatch.fetch_from.expect("a guess");
    expect_that!(addresses.contains(&source), eq(true));
    expect_that!(dispatch.save_to, none());
}

/// A server that computes while it loads newer weights could save blocks of those.
#[gtest]
fn no_store_is_used_while_a_server_is_about_to_load_newer_weights() {
    let mut fixture = fixture(&shared_fleet(FAST, 2));
    let (_, before) = send(&mut fixture);
    expect_that!(before.save_to, some(anything()));
    let mut notice = LoadNotice {
        server: ServerId::new("engine-2"),
        weights: WeightsVersion::new(2),
        duration: Duration::from_secs(3),
    };
    fixture.handle(Event::Loading(&notice));
    let (_, during) = send(&mut fixture);
    expect_that!(during.save_to, none());
    expect_that!(during.fetch_from, not(eq(store_address(1))));
    // A notice without weights and time withdraws the first.
    (notice.weights, notice.duration) = (WeightsVersion::ZERO, Duration::ZERO);
    fixture.handle(Event::Loading(&notice));
    let (_, after) = send(&mut fixture);
    expect_that!(after.fetch_from, eq(store_address(1)));
}
