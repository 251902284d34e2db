//! Entries that share a lease, the platform's object and servers that load, in virtual time.
#![expect(unreachable_pub, reason = "a test's module has no outside")]

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::prelude::*;

use crate::support::fleet;

/// The time between two steps.
pub const STEP: Duration = Duration::from_millis(50);
/// The time that weights take to load.
const LOAD_TIME: Duration = Duration::from_millis(600);

/// An entry that may hold the lease.
pub struct Candidate {
    lease: Lease,
    planner: OrderPlanner,
    pub paused: bool,
    pub cut: bool,
    pub lose: bool,
    pub hold: bool,
}

impl Candidate {
    /// Creates the process `mark`. Only where an instance runs one process at a time do names
    /// tell entries apart.
    fn new(config: LeaseConfig, mark: u64) -> Self {
        let name = match config.single_process {
            true => format!("entry-{}", mark % 2),
            false => "entry".to_owned(),
        };
        Self {
            lease: Lease::new(config, InstanceId::new(&name), mark),
            planner: OrderPlanner::new(OrderConfig::new()),
            paused: false,
            cut: false,
            lose: false,
            hold: false,
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

/// Everything that orders meet.
pub struct Cluster {
    pub now: Timestamp,
    pub candidates: Vec<Candidate>,
    pub servers: Vec<Server>,
    object: Option<(u64, LeaseRecord)>,
    fleet: Fleet,
    late: Vec<(LoadOrder, FencingNumber)>,
    pub starts: Vec<Timestamp>,
    /// Whether an unfenced server took an order of a holder that had been followed.
    pub stale: bool,
    /// Whether an unfenced server took orders of two holders within the time that it rests.
    pub hasty: bool,
    /// The last order of each server: the entry that gave it, and when it came.
    last: BTreeMap<ServerId, (usize, Timestamp)>,
    config: LeaseConfig,
    marks: u64,
}

impl Cluster {
    /// Creates two entries and four servers with weights 1, two of which check numbers.
    pub fn new(config: LeaseConfig) -> Self {
        let candidate = |mark| Candidate::new(config, mark);
        let mut fleet = fleet(4, 1);
        let mut servers = Vec::new();
        for (place, server) in fleet.servers.values_mut().enumerate() {
            server.fenced = place < 2;
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
            fleet,
            late: Vec::new(),
            starts: Vec::new(),
            stale: false,
            hasty: false,
            last: BTreeMap::new(),
            config,
            marks: 2,
        }
    }

    /// Changes the weights that the services of the pool want.
    pub fn want(&mut self, versions: &[u64]) {
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
    pub fn keep(&mut self, count: usize) {
        for server in self.servers.drain(count..) {
            self.fleet.servers.remove(&server.id);
        }
        self.fleet.version = self.fleet.version.next();
    }

    /// Lets the operators take a server out.
    pub fn leave(&mut self, place: usize) {
        let server = self.fleet.servers.get_mut(&self.servers[place].id);
        server.expect("a server").leaving = true;
        self.fleet.version = self.fleet.version.next();
    }

    /// Lets one step of time pass.
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
                self.inform(at);
                // The check before an order stands alone: a pause may end just before it.
                self.order(at);
                self.renew(at);
            }
        }
    }

    /// Starts a new process of an entry's instance.
    pub fn restart(&mut self, at: usize) {
        self.marks += 2;
        self.candidates[at] = Candidate::new(self.config, self.marks + at as u64 + 1);
    }

    /// Lets every late order arrive.
    pub fn land(&mut self) {
        for (order, number) in std::mem::take(&mut self.late) {
            self.take(usize::MAX, &order, number, true);
        }
    }

    /// Lets a server come back with the weights that it had, without the load.
    pub fn crash(&mut self, place: usize) {
        self.servers[place].loading = None;
    }

    /// Tells whether a service wants these weights.
    pub fn wants(&self, weights: WeightsVersion) -> bool {
        self.fleet.services.values().any(|s| s.weights == weights)
    }

    /// Returns the highest fencing number.
    pub fn number(&self) -> u64 {
        self.object.as_ref().map_or(0, |(_, r)| r.number.get())
    }

    /// Returns the servers that can answer, by weights.
    pub fn warm(&self) -> BTreeMap<WeightsVersion, usize> {
        let mut warm = BTreeMap::new();
        for server in self.servers.iter().filter(|s| s.loading.is_none()) {
            *warm.entry(server.weights).or_default() += 1;
        }
        warm
    }

    fn inform(&mut self, at: usize) {
        let planner = &mut self.candidates[at].planner;
        planner.adopt(&self.fleet);
        for server in &self.servers {
            let weights = match server.loading {
                Some(_) => WeightsVersion::ZERO,
                None => server.weights,
            };
            let report = LoadReport {
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

    fn renew(&mut self, at: usize) {
        let now = self.now;
        let step = self.candidates[at].lease.next(now);
        let reply = match step {
            LeaseStep::Wait(_) => return,
            _ if self.candidates[at].cut => LeaseReply::NoAnswer,
            LeaseStep::Read => self.read(),
            LeaseStep::Write(expected, record) => self.write(expected, record),
        };
        let written = matches!(reply, LeaseReply::Written(_));
        if written && std::mem::take(&mut self.candidates[at].lose) {
            return self.hear(at, LeaseReply::NoAnswer);
        }
        self.hear(at, reply);
    }

    fn hear(&mut self, at: usize, reply: LeaseReply) {
        self.candidates[at].lease.handle_reply(&reply, self.now);
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
        self.object = Some((version + 1, record));
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
        if std::mem::take(&mut candidate.hold) {
            return self.late.push((order, number));
        }
        self.take(at, &order, number, false);
    }

    fn take(&mut self, at: usize, order: &LoadOrder, number: FencingNumber, late: bool) {
        let newest = FencingNumber::new(self.number());
        let server = self.servers.iter_mut().find(|s| s.id == order.server);
        let server = server.expect("a server");
        if server.fenced && number < server.highest {
            return;
        }
        self.stale |= number < newest && !late;
        if !server.fenced && !late {
            let before = self.last.insert(order.server.clone(), (at, self.now));
            let close = before
                .is_some_and(|(by, when)| by != at && self.now.since(when) < self.config.cooldown);
            self.hasty |= close;
        }
        server.highest = server.highest.max(number);
        if server.weights != order.weights && server.loading.is_none() {
            server.loading = Some((order.weights, self.now + LOAD_TIME));
            self.starts.push(self.now);
        }
    }
}
