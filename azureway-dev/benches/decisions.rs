//! Benchmarks of the routing decisions and of the messages that feed them.

use std::time::Duration;

use azureway_core::admit::{AccountUse, LimitShare, ZoneDemand};
use azureway_core::prelude::{
    Block, BlockKey, CacheOp, CacheUpdate, ConfigVersion, Event, Incarnation, Timestamp,
    TokenCount, TokenRate, ZoneId,
};
use azureway_dev::bench::{FleetSize, RouterFixture};
use azureway_dev::slopes::{BlockProbe, MembershipProbe};
use azureway_wire::engine::{CacheEvent, FeedBody};
use azureway_wire::peer::Heartbeat;
use divan::{Bencher, black_box};
use prost::Message;

/// The number of slots per server.
const SLOTS: u32 = 16;
/// The number of events in one cache update.
const BATCH: u64 = 100;

fn main() {
    divan::main();
}

/// Routes and finishes a request among the servers of one pool in one zone.
#[divan::bench(args = [9, 100, 1_600])]
fn route(bencher: Bencher<'_, '_>, servers: usize) {
    let mut fixture = RouterFixture::new(FleetSize::new(servers), SLOTS);
    bencher.bench_local(|| {
        let dispatch = fixture.submit().expect("a free slot");
        fixture.finish(&dispatch)
    });
}

/// Routes and finishes a request in a fleet of the design size.
#[divan::bench]
fn route_at_design_size(bencher: Bencher<'_, '_>) {
    let mut fixture = RouterFixture::new(FleetSize::DESIGN, SLOTS);
    bencher.bench_local(|| {
        let dispatch = fixture.submit().expect("a free slot");
        fixture.finish(&dispatch)
    });
}

/// Finishes a request, which dispatches the next one, and queues another, with 1,000 requests from
/// 350 accounts in the queue.
#[divan::bench]
fn admit(bencher: Bencher<'_, '_>) {
    let mut fixture = RouterFixture::new(FleetSize::new(1).with_accounts(350), 1);
    let mut running = fixture.submit();
    for _ in 0..1_000 {
        fixture.submit();
    }
    bencher.bench_local(|| {
        running = running
            .take()
            .and_then(|dispatch| fixture.finish(&dispatch));
        fixture.submit()
    });
}

/// Applies an update of 100 cache events to the cache index.
#[divan::bench(args = [10_000, 100_000, 1_000_000])]
fn index_update(bencher: Bencher<'_, '_>, blocks: u64) {
    let mut index = BlockProbe::index(blocks);
    let server = RouterFixture::server_id(0);
    let mut first = blocks;
    bencher.bench_local(|| {
        let keys = (first..first + BATCH).map(|n| BlockKey::new(u128::from(n)));
        let ops: Vec<CacheOp> = keys.map(CacheOp::Stored).collect();
        let update = CacheUpdate {
            server: &server,
            incarnation: Incarnation::new(1),
            first,
            snapshot: false,
            ops: &ops,
        };
        first += BATCH;
        index.update(&update)
    });
}

/// Looks up a prompt of 6 blocks at one server.
#[divan::bench(args = [10_000, 100_000, 1_000_000])]
fn index_lookup(bencher: Bencher<'_, '_>, blocks: u64) {
    let mut index = BlockProbe::index(blocks);
    let server = RouterFixture::server_id(0);
    let mut first = 0;
    bencher.bench_local(|| {
        first = (first + 7_919) % blocks;
        let prompt: [Block; 6] = std::array::from_fn(|n| Block {
            key: BlockKey::new(u128::from(first + n as u64)),
            tokens: TokenCount::new(1),
        });
        index.cached_tokens(&server, Incarnation::new(1), &prompt)
    });
}

/// Parses the configuration document of a fleet of the design size.
#[divan::bench]
fn document_parse(bencher: Bencher<'_, '_>) {
    let text = FleetSize::DESIGN.document();
    bencher.bench_local(|| azureway_config::document::parse(&text, ConfigVersion::new(2)).is_ok());
}

/// Creates and applies a new configuration version of a fleet of the design size.
#[divan::bench]
fn document_adopt(bencher: Bencher<'_, '_>) {
    let mut fixture = RouterFixture::new(FleetSize::DESIGN, SLOTS);
    let mut version = 1;
    bencher.bench_local(|| {
        version += 1;
        fixture.handle(Event::Configured(&FleetSize::DESIGN.fleet(version, SLOTS)))
    });
}

/// Records the use of 350 accounts in an availability zone.
#[divan::bench]
fn peer_demand(bencher: Bencher<'_, '_>) {
    let accounts = (0..350).map(RouterFixture::account_id);
    let accounts = accounts.map(|a| AccountUse::new(a, TokenRate::new(1_000), TokenRate::ZERO));
    let zone = ZoneDemand {
        zone: ZoneId::new("z"),
        entries: 1,
        age: Duration::ZERO,
        accounts: accounts.collect(),
    };
    let mut share = LimitShare::new();
    bencher.bench_local(|| share.record(std::slice::from_ref(&zone), Timestamp::from_millis(1)));
}

/// Encodes a heartbeat with updates on 8 members and the demand of 12 accounts.
#[divan::bench]
fn peer_encode(bencher: Bencher<'_, '_>) {
    let heartbeat = MembershipProbe::heartbeat(0, 8);
    bencher.bench_local(|| Heartbeat::from(black_box(&heartbeat)).encode_to_vec());
}

/// Decodes a heartbeat with updates on 8 members and the demand of 12 accounts.
#[divan::bench]
fn peer_decode(bencher: Bencher<'_, '_>) {
    let bytes = Heartbeat::from(&MembershipProbe::heartbeat(0, 8)).encode_to_vec();
    bencher.bench_local(|| {
        let heartbeat = Heartbeat::decode(black_box(bytes.as_slice())).expect("a valid heartbeat");
        azureway_core::prelude::Heartbeat::try_from(&heartbeat)
    });
}

/// Encodes an engine's feed message with 100 cache events.
#[divan::bench]
fn news_encode(bencher: Bencher<'_, '_>) {
    let message = engine_message();
    bencher.bench_local(|| serde_json::to_string(black_box(&message)));
}

/// Decodes an engine's feed message with 100 cache events.
#[divan::bench]
fn news_decode(bencher: Bencher<'_, '_>) {
    let text = serde_json::to_string(&engine_message()).expect("a valid message");
    bencher.bench_local(|| {
        let decoded: FeedBody = serde_json::from_str(black_box(&text)).expect("a valid message");
        decoded.into_cache_ops().len()
    });
}

fn engine_message() -> FeedBody {
    let keys = (0..BATCH).map(|n| BlockKey::new(u128::MAX - u128::from(n)));
    FeedBody {
        incarnation: 1,
        weights: 1,
        events: keys.map(|k| CacheEvent::from(CacheOp::Stored(k))).collect(),
        ..FeedBody::default()
    }
}
