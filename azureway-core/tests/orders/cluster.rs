//! A simulation of entries that share a lease, the platform's object and servers that load weights.
#![expect(
    unreachable_pub,
    reason = "a module of a test is not reachable from outside"
)]

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::prelude::*;

use crate::support::fleet;

/// The virtual time between two steps.
pub const STEP: Duration = Duration::from_millis(50);
/// The time that a server takes to load weights.
const LOAD_TIME: Duration = Duration::from_millis(600);

/// An entry that may hold the lease.
pub struct Candidate {
    lease: Lease,
    planner: OrderPlanner,
    pub paused: bool,
    pub disconnected: bool,
    pub drop_reply: bool,
    pub hold_order: bool,
    /// The era of the store's last reply.
    era: Option<StoreEra>,
}

impl Candidate {
    /// Creates a process of an entry. Entries have different names only if an instance runs one
    /// process at a time.
    fn new(config: LeaseConfig, process_id: u64) -> Self {
        let name = match config.single_process {
            true => format!("entry-{}", process_id % 2),
            false => "entry".to_owned(),
        };
        Self {
            lease: Lease::new(config, InstanceId::new(&name), process_id),
            planner: OrderPlanner::new(OrderConfig::new()),
            paused: false,
            disconnected: false,
            drop_reply: false,
            hold_order: false,
            era: None,
        }
    }
}

/// A server that loads weights.
pub struct Server {
    id: ServerId,
    fenced: bool,
    highest: FencingNumber,
    pub weights: WeightsVersion,
    pub loading: Option<(WeightsVersion, Timestamp)>,
}

/// The entries, the servers and the platform's lease object.
pub struct Cluster {
    pub now: Timestamp,
    pub candidates: Vec<Candidate>,
    pub servers: Vec<Server>,
    object: Option<(u64, LeaseRecord)>,
    era: StoreEra,
    /// The object after each write of this era, with the time of the write.
    history: Vec<(Timestamp, Option<(u64, LeaseRecord)>)>,
    /// The highest fencing number that was written in any era.
    highest: FencingNumber,
    fleet: Fleet,
    late_orders: Vec<(LoadOrder, FencingNumber)>,
    pub load_starts: Vec<Timestamp>,
    /// Whether a server accepted an order of a previous holder, other than a held-back one.
    pub stale_order: bool,
    /// Whether an unfenced server accepted orders of two holders within the cooldown.
    pub cooldown_violated: bool,
    /// The last order of each server: the entry that sent it, and when it arrived.
    last_orders: BTreeMap<ServerId, (usize, Timestamp)>,
    config: LeaseConfig,
    processes: u64,
}

impl Cluster {
    /// Creates two entries and four servers with weights 1, two of which check fencing numbers.
    pub fn new(config: LeaseConfig) -> Self {
        let candidate = |process_id| Candidate::new(config, process_id);
        let mut fleet = fleet(4, 1);
        let mut servers = Vec::new();
        for (index, server) in fleet.servers.values_mut().enumerate() {
            server.fenced = index < 2;
            servers.push(Server {
                id: server.id.clone(),
                fenced: server.fenced,
                highest: FencingNumber::ZERO,
                weights: WeightsVersion::new(1),
                loading: None,
            });
        }
        Self {
            now: Timestamp::from_millis(1),
            candidates: vec![candidate(1), candidate(2)],
            servers,
            object: None,
            era: StoreEra::ZERO,
            history: Vec::new(),
            highest: FencingNumber::ZERO,
            fleet,
            late_orders: Vec::new(),
            load_starts: Vec::new(),
            stale_order: false,
            cooldown_violated: false,
            last_orders: BTreeMap::new(),
            config,
            processes: 2,
        }
    }

    /// Changes the weights that the services of the pool require.
    pub fn require(&mut self, versions: &[u64]) {
        let pool = PoolId::new("engines");
        self.fleet.services.clear();
        for version in versions {
            let id = ServiceId::new(&format!("model-{version}"));
            let service = ModelService::new(id, pool.clone());
            let service = service.with_weights(WeightsVersion::new(*version));
            self.fleet.services.insert(service.id.clone(), service);
        }
        self.fleet.version = self.fleet.version.next();
    }

    /// Keeps the first `count` servers.
    pub fn keep_servers(&mut self, count: usize) {
        for server in self.servers.drain(count..) {
            self.fleet.servers.remove(&server.id);
        }
        self.fleet.version = self.fleet.version.next();
    }

    /// Marks a server as leaving in the configuration.
    pub fn leave(&mut self, index: usize) {
        let server = self.fleet.servers.get_mut(&self.servers[index].id);
        server.expect("a server").leaving = true;
        self.fleet.version = self.fleet.version.next();
    }

    /// Advances the time by one step.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        for server in &mut self.servers {
            if let Some((weights, _)) = server.loading.filter(|(_, end)| *end <= self.now) {
                server.weights = weights;
                server.loading = None;
            }
        }
        for at in 0..self.candidates.len() {
            if !self.candidates[at].paused {
                self.update_planner(at);
                // The check before an order has to suffice without a renewal, since a pause may end
                // just before it.
                self.order(at);
                self.step_lease(at);
            }
        }
    }

    /// Starts a new process of an entry's instance.
    pub fn restart(&mut self, at: usize) {
        self.processes += 2;
        self.candidates[at] = Candidate::new(self.config, self.processes + at as u64 + 1);
    }

    /// Delivers the orders that were held back.
    pub fn deliver_late_orders(&mut self) {
        for (order, number) in std::mem::take(&mut self.late_orders) {
            self.deliver(usize::MAX, &order, number, true);
        }
    }

    /// Restores the store from a copy of the age `age`, which loses the writes since.
    pub fn restore(&mut self, age: Duration) {
        let copied = |(at, _): &(Timestamp, _)| self.now.since(*at) >= age;
        let count = self.history.iter().filter(|write| copied(write)).count();
        self.history.truncate(count);
        self.object = self.history.last().and_then(|(_, object)| object.clone());
        self.era = self.era.next();
    }

    /// Restarts a server with the weights that it had before the current load.
    pub fn crash(&mut self, index: usize) {
        self.servers[index].loading = None;
    }

    /// Returns whether a service requires these weights.
    pub fn requires(&self, weights: WeightsVersion) -> bool {
        self.fleet.services.values().any(|s| s.weights == weights)
    }

    /// Returns the highest fencing number that was written.
    pub fn number(&self) -> u64 {
        self.highest.get()
    }

    /// Returns the number of servers that can serve requests, by weights.
    pub fn loaded(&self) -> BTreeMap<WeightsVersion, usize> {
        let mut loaded = BTreeMap::new();
        for server in self.servers.iter().filter(|s| s.loading.is_none()) {
            *loaded.entry(server.weights).or_default() += 1;
        }
        loaded
    }

    fn update_planner(&mut self, at: usize) {
        let planner = &mut self.candidates[at].planner;
        planner.adopt(&self.fleet);
        for server in &self.servers {
            let weights = match server.loading {
                Some(_) => WeightsVersion::ZERO,
                None => server.weights,
            };
            let report = LoadReport {
                pace: None,
                server: server.id.clone(),
                incarnation: Incarnation::new(1),
                weights,
                running: 0,
                queued: 0,
                pending: TokenCount::ZERO,
                leaving: false,
            };
            planner.apply_report(&report, self.now);
        }
    }

    fn step_lease(&mut self, at: usize) {
        let now = self.now;
        let step = self.candidates[at].lease.next(now);
        let reply = match step {
            LeaseStep::Wait(_) => return,
            _ if self.candidates[at].disconnected => LeaseReply::NoAnswer,
            // The client takes no answer of another era.
            step if self.candidates[at].era.is_some_and(|e| e != self.era) => {
                if let LeaseStep::Write(expected, record) = step {
                    self.write(expected, record);
                }
                LeaseReply::Restored
            }
            LeaseStep::Read => self.read(),
            LeaseStep::Write(expected, record) => self.write(expected, record),
        };
        let written = matches!(reply, LeaseReply::Written(_));
        if written && std::mem::take(&mut self.candidates[at].drop_reply) {
            return self.deliver_reply(at, LeaseReply::NoAnswer);
        }
        self.deliver_reply(at, reply);
    }

    fn deliver_reply(&mut self, at: usize, reply: LeaseReply) {
        let candidate = &mut self.candidates[at];
        if reply != LeaseReply::NoAnswer {
            candidate.era = Some(self.era);
            candidate.lease.enter_era(Some(self.era), self.now);
        }
        candidate.lease.handle_reply(&reply, self.now);
    }

    fn read(&self) -> LeaseReply {
        match &self.object {
            Some((version, record)) => LeaseReply::Found(*version, record.clone()),
            None => LeaseReply::Absent,
        }
    }

    fn write(&mut self, expected: u64, record: LeaseRecord) -> LeaseReply {
        let version = self.object.as_ref().map_or(0, |(v, _)| *v);
        if version != expected {
            return LeaseReply::Conflict;
        }
        self.highest = self.highest.max(record.number);
        self.object = Some((version + 1, record));
        self.history.push((self.now, self.object.clone()));
        LeaseReply::Written(version + 1)
    }

    fn order(&mut self, at: usize) {
        let candidate = &mut self.candidates[at];
        if candidate.lease.fencing_number(self.now, false).is_none() {
            return;
        }
        let Some(order) = candidate.planner.next_order(self.now) else {
            return;
        };
        let Some(number) = candidate.lease.fencing_number(self.now, order.fenced) else {
            return;
        };
        if std::mem::take(&mut candidate.hold_order) {
            return self.late_orders.push((order, number));
        }
        self.deliver(at, &order, number, false);
    }

    fn deliver(&mut self, at: usize, order: &LoadOrder, number: FencingNumber, late: bool) {
        let newest = FencingNumber::new(self.number());
        let server = self.servers.iter_mut().find(|s| s.id == order.server);
        let server = server.expect("a server");
        if server.fenced && number < server.highest {
            return;
        }
        self.stale_order |= number < newest && !late;
        if !server.fenced && !late {
            let before = self
                .last_orders
                .insert(order.server.clone(), (at, self.now));
            let too_soon = before
                .is_some_and(|(by, when)| by != at && self.now.since(when) < self.config.cooldown);
            self.cooldown_violated |= too_soon;
        }
        server.highest = server.highest.max(number);
        if server.weights != order.weights && server.loading.is_none() {
            server.loading = Some((order.weights, self.now + LOAD_TIME));
            self.load_starts.push(self.now);
        }
    }
}
