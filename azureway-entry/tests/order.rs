//! Tests of the ordering duty against an in-memory platform and in-memory servers.

use std::future::{self, Future};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::clock::Clock;
use azureway_entry::memory::MemoryHold;
use azureway_entry::order::{OrderLink, OrderMessage, Orderer};
use azureway_entry::runtime;
use azureway_objects::{ObjectApi, Put};
use azureway_wire::object::{ObjectBody, ObjectList};
use azureway_wire::order::LeaseBody;
use flume::Sender;
use googletest::prelude::*;

/// The result of a platform call.
type CallResult<T> = std::result::Result<T, Error>;

/// An in-memory platform that stores the lease and counts calls.
#[derive(Clone, Default)]
struct Platform {
    lease: Arc<Mutex<Option<ObjectBody>>>,
    calls: Arc<Mutex<u32>>,
}

impl Platform {
    fn count_call(&self) {
        *self.calls.lock().expect("the lock") += 1;
    }

    fn fencing_number(&self) -> Option<u64> {
        let lease = self.lease.lock().expect("the lock");
        let body: LeaseBody = serde_json::from_str(&lease.as_ref()?.value).expect("a lease");
        Some(body.number)
    }
}

impl ObjectApi for Platform {
    fn get(&self, _: &str, _: &str) -> CallResult<Option<ObjectBody>> {
        self.count_call();
        Ok(self.lease.lock().expect("the lock").clone())
    }

    fn list(&self, _: &str) -> CallResult<ObjectList> {
        self.count_call();
        Ok(ObjectList::default())
    }

    fn put(&self, put: &Put<'_>) -> CallResult<u64> {
        self.count_call();
        let mut lease = self.lease.lock().expect("the lock");
        let version = lease.as_ref().map_or(0, |l| l.version);
        assert_eq!(
            version, put.expected,
            "the duty expects the version that it has read"
        );
        *lease = Some(ObjectBody {
            name: put.name.to_owned(),
            version: version + 1,
            value: put.value.to_owned(),
            deleted: false,
        });
        Ok(version + 1)
    }

    fn delete(&self, _: &str, _: &str, _: u64) -> CallResult<()> {
        unreachable!("no claim is old")
    }

    fn watch(&self, _: &str, _: u64, _: Duration) -> CallResult<ObjectList> {
        unreachable!("the duty does not watch")
    }
}

/// Servers that record the orders they receive and give the same answer to each.
struct Servers(OrderAnswer, Sender<(ServerId, FencingNumber)>);

impl OrderLink for Servers {
    fn send(
        &self,
        order: &LoadOrder,
        number: FencingNumber,
        _: MemoryHold,
    ) -> impl Future<Output = OrderAnswer> + Send + 'static {
        let _ = self.1.try_send((order.server.clone(), number));
        future::ready(self.0)
    }

    fn status(
        &self,
        _: &LoadOrder,
        _: MemoryHold,
    ) -> impl Future<Output = Option<OrderStatus>> + Send + 'static {
        future::ready(None)
    }
}

/// Returns a fleet of two servers whose service requires weights version 2.
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

/// Returns the report of a server that has loaded weights version 1.
fn report(name: &str) -> OrderMessage {
    OrderMessage::Report(LoadReport {
        pace: None,
        server: ServerId::new(name),
        incarnation: Incarnation::new(1),
        weights: WeightsVersion::new(1),
        running: 0,
        queued: 0,
        pending: TokenCount::ZERO,
        leaving: false,
    })
}

/// Runs the duty on a fixed list of messages and returns the orders that the servers received.
fn run(platform: &Platform, answer: OrderAnswer, selected: bool) -> Vec<(ServerId, FencingNumber)> {
    let (sender, messages) = flume::bounded(8);
    let (received, orders) = flume::bounded(8);
    let configured = OrderMessage::Configured(Arc::new(fleet()));
    for message in [
        OrderMessage::Selected(selected),
        configured,
        report("one"),
        report("two"),
    ] {
        sender.try_send(message).expect("room");
    }
    drop(sender);
    let lease = Lease::new(LeaseConfig::new(), InstanceId::new("a-entry-1"), 7);
    let (api, link, config) = (
        platform.clone(),
        Servers(answer, received),
        OrderConfig::new(),
    );
    let orderer = Orderer::new(api.clone(), link, messages, Clock::new(), lease, config);
    let runtime = runtime::create().expect("a runtime");
    orderer.with_sweeps(api, 7).run(&runtime);
    orders.drain().collect()
}

#[gtest]
fn lease_holder_sends_orders_with_its_fencing_number() {
    let platform = Platform::default();
    let orders = run(&platform, OrderAnswer::Taken, true);
    expect_that!(
        orders,
        eq(&vec![(ServerId::new("one"), FencingNumber::new(1))])
    );
    expect_that!(platform.fencing_number(), some(eq(1)));
}

#[gtest]
fn unselected_entry_makes_no_platform_calls() {
    let platform = Platform::default();
    expect_that!(run(&platform, OrderAnswer::Taken, false), is_empty());
    expect_that!(*platform.calls.lock().expect("the lock"), eq(0));
}

#[gtest]
fn fenced_holder_steps_down_and_acquires_the_lease_again() {
    let platform = Platform::default();
    let orders = run(&platform, OrderAnswer::Fenced, true);
    expect_that!(orders.len(), eq(1));
    // No other entry instance has acquired the lease, so this one continues under the next number.
    expect_that!(platform.fencing_number(), some(eq(2)));
}
