//! Tests of the ordering duty with servers that do not answer orders.

mod lease_platform;

use std::collections::VecDeque;
use std::future::Future;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::clock::Clock;
use azureway_entry::memory::MemoryHold;
use azureway_entry::order::{OrderLink, OrderMessage, Orderer};
use azureway_entry::peer::PeerMessage;
use azureway_entry::runtime;
use flume::{Receiver, Sender};
use googletest::prelude::*;
use lease_platform::LeasePlatform;

/// The bound on a wait, so that a failing test cannot hang. No result depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Servers that give the listed answers one after another, and then none.
struct Servers {
    answers: Arc<Mutex<VecDeque<OrderAnswer>>>,
    orders: Sender<LoadOrder>,
}

impl OrderLink for Servers {
    fn send(
        &self,
        order: &LoadOrder,
        _: FencingNumber,
        _: MemoryHold,
    ) -> impl Future<Output = OrderAnswer> + Send + 'static {
        let _ = self.orders.send(order.clone());
        let silent = order.server.as_str().starts_with("silent");
        let answer = self.answers.lock().expect("the lock").pop_front();
        async move {
            match answer.filter(|_| !silent) {
                Some(answer) => answer,
                None => std::future::pending().await,
            }
        }
    }

    fn status(
        &self,
        _: &LoadOrder,
        _: MemoryHold,
    ) -> impl Future<Output = Option<OrderStatus>> + Send + 'static {
        std::future::pending()
    }
}

/// Returns a fleet of the named servers, all of which may load at once and are to load weights 2.
fn fleet(names: &[String]) -> Fleet {
    let pool = PoolId::new("engines");
    let service = ModelService::new(ServiceId::new("advice"), pool.clone());
    let base = Fleet::new()
        .with_version(ConfigVersion::new(1))
        .with_pool(BackendServerPool::new(pool.clone()).with_max_loads(100))
        .with_service(service.with_weights(WeightsVersion::new(2)));
    names.iter().fold(base, |fleet, name| {
        let (id, zone) = (ServerId::new(name), ZoneId::new("a"));
        let address = ([127, 0, 0, 1], 9).into();
        let mut server = BackendServer::new(id, pool.clone(), zone, address);
        server.listed = Some(ListedState {
            incarnation: Incarnation::new(1),
            weights: Some(WeightsVersion::new(1)),
        });
        fleet.with_server(server)
    })
}

/// The rings of a running ordering duty.
struct Duty {
    orders: Receiver<LoadOrder>,
    notices: Receiver<PeerMessage>,
    /// Keeps the duty running.
    _messages: Sender<OrderMessage>,
}

impl Duty {
    /// Starts a duty for servers with these names that give these answers.
    fn start(names: &[String], answers: Vec<OrderAnswer>) -> Self {
        let (messages, received) = flume::bounded(4);
        let (orders_tx, orders) = flume::unbounded();
        let (peers, notices) = flume::unbounded();
        let configured = OrderMessage::Configured(Arc::new(fleet(names)));
        messages.send(configured).expect("a ring");
        let link = Servers {
            answers: Arc::new(Mutex::new(answers.into())),
            orders: orders_tx,
        };
        let lease = Lease::new(LeaseConfig::new(), InstanceId::new("a-entry-1"), 7);
        let config = OrderConfig::new().with_store_rate(1_000);
        let duty = Orderer::new(LeasePlatform, link, received, Clock::new(), lease, config);
        thread::spawn(move || {
            let runtime = runtime::create().expect("a runtime");
            duty.with_peers(peers).run(&runtime);
        });
        Self {
            orders,
            notices,
            _messages: messages,
        }
    }

    /// Returns the weights of the next notice, or `None` if it withdraws one before.
    fn next_notice(&self) -> Option<WeightsVersion> {
        match self.notices.recv_timeout(TEST_TIMEOUT) {
            Ok(PeerMessage::Loading(notice)) if notice.duration.is_zero() => None,
            Ok(PeerMessage::Loading(notice)) => Some(notice.weights),
            other => panic!("no notice of a load: {other:?}"),
        }
    }
}

/// Guards against a duty that waits for the answer to one order before it sends the next: a pool with
/// silent servers then has older weights until long after they may answer.
#[gtest]
fn silent_servers_do_not_hold_up_orders_to_others() {
    // Servers are ordered by name.
    let silent = (0..10).map(|n| format!("silent-{n}"));
    let names: Vec<_> = silent
        .chain((0..10).map(|n| format!("sound-{n}")))
        .collect();
    let duty = Duty::start(&names, vec![OrderAnswer::Taken; 20]);
    // One server keeps the older weights until another has loaded newer ones.
    for _ in 0..names.len() - 1 {
        let order = duty.orders.recv_timeout(TEST_TIMEOUT);
        let _ = order.expect("an order");
    }
    let repeated = duty.orders.drain().filter(|o| o.repeated);
    expect_that!(repeated.count(), eq(0));
}

/// Guards against peers that leave a server without requests although it did not begin to load, or
/// send it requests that it rejects since it loads after all.
#[gtest]
fn peers_hear_of_orders_that_get_no_answer() {
    let names = ["one".to_owned()];
    let answers = [
        OrderAnswer::Unanswered,
        OrderAnswer::Unanswered,
        OrderAnswer::Taken,
    ];
    let duty = Duty::start(&names, answers.to_vec());
    let notices = [(); 3].map(|()| duty.next_notice());
    let weights = Some(WeightsVersion::new(2));
    expect_that!(notices, eq([weights, None, weights]));
    let orders: Vec<_> = duty.orders.drain().collect();
    let repeated: Vec<_> = orders.iter().map(|o| (o.accepted, o.repeated)).collect();
    expect_that!(repeated, eq(&vec![(0, false), (0, true), (0, true)]));
}

/// Guards against peers that leave a server without requests for the whole time of a load, although the
/// order failed.
#[gtest]
fn peers_hear_of_orders_that_fail() {
    let duty = Duty::start(&["one".to_owned()], vec![OrderAnswer::Failed]);
    let notices = [(); 2].map(|()| duty.next_notice());
    expect_that!(notices, eq([Some(WeightsVersion::new(2)), None]));
}
