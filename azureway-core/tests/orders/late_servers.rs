//! A simulation of a lease holder and of servers whose answers to orders are lost, and which carry
//! out such orders late.
#![expect(
    unreachable_pub,
    reason = "a module of a test is not reachable from outside"
)]

use std::time::Duration;

use azureway_core::prelude::*;

/// The time between two steps.
const STEP: Duration = Duration::from_millis(20);
/// The time that a server takes to load weights.
const LOAD_TIME: Duration = Duration::from_millis(630);
/// The time after which an order counts as unanswered.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// The time from an accepted order to the first question for the server's state, and between two.
const CHECK_TIMES: (Duration, Duration) = (Duration::from_millis(600), Duration::from_millis(150));
/// How old the state is that a server tells.
const STATUS_AGE: Duration = Duration::from_millis(200);
/// The interval at which the servers' weights are listed.
const LIST_INTERVAL: Duration = Duration::from_millis(1_200);

/// A server that loads weights and counts the orders that it accepts.
pub struct LateServer {
    id: ServerId,
    pub weights: WeightsVersion,
    accepted: u64,
    incarnation: u64,
    /// Whether orders get no answer and are never carried out.
    pub silent: bool,
    loading: Option<(WeightsVersion, Timestamp)>,
    told: Vec<(Timestamp, OrderStatus)>,
}

/// What happens to an order, or to what a server tells, at a later time.
enum Later {
    Arrive(LoadOrder),
    Answer(LoadOrder, OrderAnswer),
    Check(LoadOrder),
}

/// A lease holder's planner and the servers of one pool.
pub struct LateCluster {
    now: Timestamp,
    planner: OrderPlanner,
    pub servers: Vec<LateServer>,
    fleet: Fleet,
    /// Whether a server's weights became older.
    pub reverted: bool,
    /// Whether servers ignore the number of accepted orders that an order names.
    pub uncounted: bool,
    /// The share of orders that get no answer and are carried out 2 to 12 s later, in percent.
    pub lost: u64,
    sent: usize,
    later: Vec<(Timestamp, Later)>,
    next_list: Timestamp,
    random: u64,
}

impl LateCluster {
    /// Creates a pool of `count` servers with weights 1, spread over `zones` zones, of which `loads` may load
    /// at once.
    pub fn new(count: usize, zones: usize, loads: u32, seed: u64) -> Self {
        let pool = PoolId::new("engines");
        let base = Fleet::new()
            .with_pool(BackendServerPool::new(pool.clone()).with_max_loads(loads))
            .with_service(ModelService::new(ServiceId::new("advice"), pool.clone()));
        let mut fleet = base;
        let mut servers = Vec::new();
        for index in 0..count {
            let id = ServerId::new(&format!("s{index:03}"));
            let zone = ZoneId::new(&format!("zone-{}", index * zones / count));
            let address = ([127, 0, 0, 1], 9).into();
            let server = BackendServer::new(id.clone(), pool.clone(), zone, address);
            fleet = fleet.with_server(server);
            servers.push(LateServer {
                id,
                weights: WeightsVersion::new(1),
                accepted: 0,
                incarnation: 1,
                silent: false,
                loading: None,
                told: Vec::new(),
            });
        }
        let mut cluster = Self {
            now: Timestamp::from_millis(3_600_000),
            planner: OrderPlanner::new(planner_config()),
            servers,
            fleet,
            reverted: false,
            uncounted: false,
            lost: 0,
            sent: 0,
            later: Vec::new(),
            next_list: Timestamp::ZERO,
            random: seed,
        };
        cluster.list();
        cluster
    }

    /// Changes the weights that the service requires.
    pub fn require(&mut self, version: u64) {
        for service in self.fleet.services.values_mut() {
            service.weights = WeightsVersion::new(version);
        }
        self.list();
    }

    /// Replaces the holder of the lease by one that has sent no order.
    pub fn replace_holder(&mut self) {
        self.planner = OrderPlanner::new(planner_config());
        self.later
            .retain(|(_, later)| matches!(later, Later::Arrive(_)));
        self.list();
    }

    /// Restarts a server under its name. It keeps its weights and has accepted no orders.
    pub fn restart(&mut self, index: usize) {
        let server = &mut self.servers[index];
        server.loading = None;
        server.incarnation += 1;
        server.accepted = 0;
        server.told.clear();
    }

    /// Returns the number of orders that were sent since the last call.
    pub fn take_sent(&mut self) -> usize {
        std::mem::take(&mut self.sent)
    }

    /// Runs for `time`.
    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until every server that is not silent has the weights, for `limit` at most. Returns the time that
    /// it took.
    pub fn run_until_loaded(&mut self, version: u64, limit: Duration) -> Option<Duration> {
        let start = self.now;
        while self.now.since(start) < limit {
            self.step();
            let has = |s: &LateServer| s.silent || s.weights == WeightsVersion::new(version);
            if self.servers.iter().all(has) {
                return Some(self.now.since(start));
            }
        }
        None
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.finish_loads();
        if self.now >= self.next_list {
            self.list();
        }
        let now = self.now;
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.later)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.later = later;
        due.into_iter().for_each(|(_, event)| self.handle(event));
        while let Some(order) = self.planner.next_order(self.now) {
            self.send(order);
        }
    }

    fn handle(&mut self, event: Later) {
        match event {
            Later::Arrive(order) => drop(self.deliver(&order)),
            Later::Answer(order, answer) => self.answer(order, answer),
            Later::Check(order) => self.check(order),
        }
    }

    fn send(&mut self, order: LoadOrder) {
        self.sent += 1;
        let silent = self.server(&order).silent;
        if silent || self.draw(100) < self.lost {
            if !silent {
                let delay = Duration::from_millis(2_000 + self.draw(10_000));
                let late = (self.now + delay, Later::Arrive(order.clone()));
                self.later.push(late);
            }
            let answer = Later::Answer(order, OrderAnswer::Unanswered);
            self.later.push((self.now + ANSWER_TIMEOUT, answer));
        } else {
            let answer = self.deliver(&order);
            self.later.push((self.now, Later::Answer(order, answer)));
        }
    }

    fn deliver(&mut self, order: &LoadOrder) -> OrderAnswer {
        let (now, uncounted) = (self.now, self.uncounted);
        let server = self.server(order);
        if server.loading.is_some() || (!uncounted && server.accepted != order.accepted) {
            return OrderAnswer::Conflict;
        }
        if server.weights == order.weights {
            return OrderAnswer::Held;
        }
        server.accepted += 1;
        server.loading = Some((order.weights, now + LOAD_TIME));
        OrderAnswer::Taken
    }

    fn answer(&mut self, order: LoadOrder, answer: OrderAnswer) {
        self.planner.record_answer(&order, answer, self.now);
        let delay = match answer {
            OrderAnswer::Taken => CHECK_TIMES.0,
            OrderAnswer::Held | OrderAnswer::Conflict => Duration::ZERO,
            _ => return,
        };
        self.later.push((self.now + delay, Later::Check(order)));
    }

    fn check(&mut self, order: LoadOrder) {
        let now = self.now;
        let told = &self.server(&order).told;
        let status = told.iter().rev().find(|(at, _)| *at + STATUS_AGE <= now);
        let status = status.or(told.first()).map(|(_, status)| *status);
        let Some(status) = status else {
            return self.later.push((now + CHECK_TIMES.1, Later::Check(order)));
        };
        if self.planner.record_status(&order, &status, now) == LoadProgress::Loading {
            self.later.push((now + CHECK_TIMES.1, Later::Check(order)));
        }
    }

    fn finish_loads(&mut self) {
        for server in &mut self.servers {
            if let Some((weights, _)) = server.loading.filter(|(_, end)| *end <= self.now) {
                self.reverted |= weights < server.weights;
                server.weights = weights;
                server.loading = None;
            }
            let status = OrderStatus {
                weights: server.weights,
                busy: server.loading.is_some(),
                accepted: server.accepted,
            };
            if server.told.last().map(|(_, told)| *told) != Some(status) {
                server.told.push((self.now, status));
            }
        }
    }

    fn list(&mut self) {
        self.next_list = self.now + LIST_INTERVAL;
        self.fleet.version = self.fleet.version.next();
        for server in &self.servers {
            let listed = self.fleet.servers.get_mut(&server.id).expect("a server");
            listed.listed = Some(ListedState {
                incarnation: Incarnation::new(server.incarnation),
                weights: Some(server.weights),
            });
        }
        self.planner.adopt(&self.fleet);
    }

    fn server(&mut self, order: &LoadOrder) -> &mut LateServer {
        let found = self.servers.iter_mut().find(|s| s.id == order.server);
        found.expect("a server")
    }

    /// Returns a number below `limit`, by a linear congruential generator.
    fn draw(&mut self, limit: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % limit
    }
}

fn planner_config() -> OrderConfig {
    OrderConfig::new()
        .with_store_rate(100)
        .with_slot_timeout(Duration::from_secs(3))
        .with_mode(LoadMode::Swap)
}
