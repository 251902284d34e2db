//! The ordering duty over a platform and servers in memory.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::clock::Clock;
use azureway_entry::order::{OrderAnswer, OrderLink, OrderMessage, Orderer};
use azureway_objects::{ObjectApi, Put};
use azureway_wire::object::{ObjectBody, ObjectList};
use azureway_wire::order::LeaseBody;
use flume::Sender;
use googletest::prelude::*;

/// The answer of a call.
type Answer<T> = std::result::Result<T, Error>;

/// A platform that holds the lease.
#[derive(Clone, Default)]
struct Platform {
    lease: Arc<Mutex<Option<ObjectBody>>>,
    calls: Arc<Mutex<u32>>,
}

impl Platform {
    fn count(&self) {
        *self.calls.lock().expect("the lock") += 1;
    }

    fn number(&self) -> Option<u64> {
        let lease = self.lease.lock().expect("the lock");
        let body: LeaseBody = serde_json::from_str(&lease.as_ref()?.value).expect("a lease");
        Some(body.number)
    }
}

impl ObjectApi for Platform {
    fn get(&self, _: &str, _: &str) -> Answer<Option<ObjectBody>> {
        self.count();
        Ok(self.lease.lock().expect("the lock").clone())
    }

    fn list(&self, _: &str) -> Answer<ObjectList> {
        self.count();
        Ok(ObjectList::default())
    }

    fn put(&self, put: &Put<'_>) -> Answer<u64> {
        self.count();
        let mut lease = self.lease.lock().expect("the lock");
        let version = lease.as_ref().map_or(0, |l| l.version);
        assert_eq!(
            version, put.expected,
            "the duty writes over what it has read"
        );
        *lease = Some(ObjectBody {
            name: put.name.to_owned(),
            version: version + 1,
            value: put.value.to_owned(),
            deleted: false,
        });
        Ok(version + 1)
    }

    fn delete(&self, _: &str, _: &str, _: u64) -> Answer<()> {
        unreachable!("no claim is old")
    }

    fn watch(&self, _: &str, _: u64, _: Duration) -> Answer<ObjectList> {
        unreachable!("the duty does not watch")
    }
}

/// Servers that note orders and give one answer to all.
struct Servers(OrderAnswer, Sender<(ServerId, FencingNumber)>);

impl OrderLink for Servers {
    fn weights(&self, _: &LoadOrder) -> Option<WeightsVersion> {
        None
    }

    fn send(&self, order: &LoadOrder, number: FencingNumber) -> OrderAnswer {
        let _ = self.1.try_send((order.server.clone(), number));
        self.0
    }
}

/// Two servers with weights 1 in a pool that wants weights 2.
fn fleet() -> Fleet {
    let pool = PoolId::new("engines");
    let service = ModelService::new(ServiceId::new("advice"), pool.clone());
    let base = Fleet::new()
        .with_version(ConfigVersion::new(1))
        .with_pool(BackendServerPool::new(pool.clone()))
        .with_service(service.with_weights(WeightsVersion::new(2)));
    ["one", "two"].iter().fold(base, |fleet, name| {
        let address = ([127, 0, 0, 1], 9).into();
        let zone = ZoneId::new("a");
        fleet.with_server(BackendServer::new(
            ServerId::new(name),
            pool.clone(),
            zone,
            address,
        ))
    })
}

fn report(name: &str) -> OrderMessage {
    OrderMessage::Report(LoadReport {
        server: ServerId::new(name),
        incarnation: Incarnation::new(1),
        weights: WeightsVersion::new(1),
        running: 0,
        queued: 0,
        pending: TokenCount::ZERO,
        leaving: false,
    })
}

/// Gives the duty its notes, lets it end, and returns the orders that came.
fn run(platform: &Platform, answer: OrderAnswer, chosen: bool) -> Vec<(ServerId, FencingNumber)> {
    let (notes, received) = flume::bounded(8);
    let (sent, orders) = flume::bounded(8);
    let adopt = OrderMessage::Configured(Arc::new(fleet()));
    for note in [
        OrderMessage::Selected(chosen),
        adopt,
        report("one"),
        report("two"),
    ] {
        notes.try_send(note).expect("room");
    }
    drop(notes);
    let lease = Lease::new(LeaseConfig::new(), InstanceId::new("a-entry-1"), 7);
    let (api, link, config) = (platform.clone(), Servers(answer, sent), OrderConfig::new());
    let orderer = Orderer::new(api.clone(), link, received, Clock::new(), lease, config);
    orderer.with_sweeps(api, 7).run();
    orders.drain().collect()
}

#[gtest]
fn the_holder_orders_under_its_number() {
    let platform = Platform::default();
    let orders = run(&platform, OrderAnswer::Taken, true);
    expect_that!(
        orders,
        eq(&vec![(ServerId::new("one"), FencingNumber::new(1))])
    );
    expect_that!(platform.number(), some(eq(1)));
}

#[gtest]
fn an_entry_that_is_not_chosen_asks_the_platform_nothing() {
    let platform = Platform::default();
    expect_that!(run(&platform, OrderAnswer::Taken, false), is_empty());
    expect_that!(*platform.calls.lock().expect("the lock"), eq(0));
}

#[gtest]
fn a_holder_whose_number_is_refused_gives_its_lease_up_and_looks_again() {
    let platform = Platform::default();
    let orders = run(&platform, OrderAnswer::Fenced, true);
    expect_that!(orders.len(), eq(1));
    // Nobody else has taken it meanwhile, so it goes on under the next number.
    expect_that!(platform.number(), some(eq(2)));
}
