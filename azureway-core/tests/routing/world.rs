//! The simulation that carries out the steps of the routing tests and checks invariants.
#![expect(unreachable_pub, reason = "a test's module has no outside")]

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::prelude::*;

use super::engine::Engine;

/// The number of slots of an engine.
pub const SLOTS: u32 = 4;
/// The size of a prompt level in bytes: one block of ten tokens.
const LEVEL: usize = 40;
/// The zones of the entries and of the engines.
const ZONES: [&str; 2] = ["a", "b"];

/// A simulation of two entries and two engines that records the result of each request.
pub struct World {
    pub now: Timestamp,
    pub engines: Vec<Engine>,
    pub results: BTreeMap<RequestId, String>,
    pub runs: BTreeMap<RequestId, u32>,
    entries: Vec<Router<PrefixLoad>>,
    requests: BTreeMap<RequestId, Request>,
    partitioned: [bool; 2],
    fleet: Fleet,
    /// The requests that entries had counted, or had pending, when they restarted.
    previous: u64,
}

impl World {
    pub fn new() -> Self {
        let engines = (1..=2).map(|n| Engine::new(ServerId::new(&format!("engine-{n}"))));
        let mut world = Self {
            now: Timestamp::from_millis(1),
            engines: engines.collect(),
            results: BTreeMap::new(),
            runs: BTreeMap::new(),
            entries: ZONES.map(entry).into(),
            requests: BTreeMap::new(),
            partitioned: [false; 2],
            fleet: fleet(),
            previous: 0,
        };
        world.configure();
        world
    }

    pub fn send(&mut self, entry: usize, account: &str, rank: Rank, prompt: &str) {
        let sequence = self.requests.len() as u64 + 1;
        let (account, service) = (AccountId::new(account), ServiceId::new("advice"));
        let weights = self.fleet.services[&service].weights;
        let salt = Salt::new(&account, &service, weights);
        let levels: Vec<_> = prompt.split('.').map(|l| l.repeat(LEVEL)).collect();
        let levels = levels.iter().map(|l| &l.as_bytes()[..LEVEL]);
        let request = Request {
            id: RequestId::new(entry as u64, sequence),
            fingerprint: Fingerprint::of(account.as_str(), "advice", prompt.as_bytes()),
            max_attempts: None,
            time_limit: None,
            prompt: PromptBlocks::new(salt, levels),
            account,
            service,
            rank,
            kind: RequestKind::Repeatable,
            worth: Worth::new(1),
            deadline: Deadline::new(self.now + Duration::from_secs(10)),
            arrived: self.now,
            weights,
            max_output: TokenCount::new(10),
            usage: None,
            idempotency_key: None,
        };
        self.requests.insert(request.id, request.clone());
        self.results.insert(request.id, String::new());
        self.send_event(entry, Event::Arrived(&request));
    }

    /// Makes an engine run all its requests in flight.
    pub fn run(&mut self, number: usize) {
        for (entry, dispatch, request) in std::mem::take(&mut self.engines[number].in_flight) {
            let engine = &mut self.engines[number];
            if !engine.accepts(&dispatch) {
                self.append(dispatch.attempt.id, "!");
                self.fail(entry, &dispatch, FailureKind::Mismatch, SendState::Rejected);
                continue;
            }
            let used = engine.run(&dispatch, &request);
            *self.runs.entry(request.id).or_default() += 1;
            self.append(dispatch.attempt.id, &used.to_string());
            let finish = Finish {
                attempt: dispatch.attempt,
                cached: TokenCount::new(used as u64 * 10),
                output: TokenCount::new(10),
            };
            self.send_event(entry, Event::Started(dispatch.attempt));
            self.send_event(entry, Event::Finished(&finish));
        }
    }

    /// Delivers an engine's load report and cache events, or a snapshot of its cache, to an entry,
    /// unless `lost`.
    pub fn deliver(&mut self, number: usize, entry: usize, snapshot: bool, lost: bool) {
        let engine = &mut self.engines[number];
        let (report, id) = (engine.report(false), engine.id.clone());
        let (first, ops) = if snapshot {
            engine.snapshot()
        } else {
            engine.undelivered(entry)
        };
        if lost || (self.partitioned[entry] && number != entry) {
            return;
        }
        let update = CacheUpdate {
            server: &id,
            incarnation: report.incarnation,
            first,
            snapshot,
            ops: &ops,
        };
        self.send_event(entry, Event::Load(&report));
        self.send_event(entry, Event::Cache(&update));
    }

    pub fn crash(&mut self, number: usize) {
        let incarnation = self.engines[number].incarnation + 1;
        let interrupted = self.engines[number].restart(incarnation);
        for (entry, dispatch, request) in interrupted {
            *self.runs.entry(request.id).or_default() += 1;
            self.append(dispatch.attempt.id, "~");
            self.fail(entry, &dispatch, FailureKind::Broken, SendState::MaybeRun);
        }
    }

    /// Replaces an engine by another process with the same incarnation number. With `address`, the
    /// configuration also gives the engine another address.
    pub fn replace(&mut self, number: usize, address: bool) {
        let incarnation = self.engines[number].incarnation;
        self.engines[number].restart(incarnation);
        if address {
            let id = self.engines[number].id.clone();
            let server = self.fleet.servers.get_mut(&id).expect("a server");
            server.address.set_port(server.address.port() + 100);
            self.configure();
        }
    }

    /// Restarts an entry: its requests end without an answer.
    pub fn restart(&mut self, number: usize) {
        let fresh = entry(ZONES[number]);
        let old = std::mem::replace(&mut self.entries[number], fresh);
        self.previous += old.tally().total() + old.tally().pending() as u64;
        for engine in &mut self.engines {
            engine.in_flight.retain(|(e, _, _)| *e != number);
        }
        let ids = RequestId::new(number as u64, 0)..RequestId::new(number as u64 + 1, 0);
        for (_, result) in self.results.range_mut(ids) {
            result.push(';');
        }
        let fleet = self.fleet.clone();
        self.send_event(number, Event::Configured(&fleet));
    }

    pub fn partition(&mut self, entry: usize) {
        self.partitioned[entry] = true;
    }

    pub fn remove_engine(&mut self) {
        self.fleet.servers.pop_last();
        self.configure();
    }

    pub fn set_weights(&mut self, weights: u64) {
        let service = self.fleet.services.values_mut().next().expect("one");
        service.weights = WeightsVersion::new(weights);
        self.configure();
    }

    pub fn wait(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        (0..self.entries.len()).for_each(|e| self.send_event(e, Event::Tick));
    }

    /// Checks the invariants that hold after every event.
    pub fn check(&self) {
        let counted: u64 = self.entries.iter().map(|e| e.tally().total()).sum();
        let open: usize = self.entries.iter().map(|e| e.tally().pending()).sum();
        let arrived = self.requests.len();
        assert_eq!(
            (self.previous + counted) as usize + open,
            arrived,
            "every request is counted once"
        );
        let active: usize = self.entries.iter().map(Router::active).sum();
        assert_eq!(
            open, active,
            "every uncounted request is queued or in flight"
        );
        for state in self.entries.iter().flat_map(|e| e.servers().iter()) {
            assert!(
                state.in_flight() <= SLOTS,
                "an entry exceeds the slots of an engine"
            );
        }
    }

    fn configure(&mut self) {
        self.fleet.version = self.fleet.version.next();
        let fleet = self.fleet.clone();
        (0..self.entries.len()).for_each(|e| self.send_event(e, Event::Configured(&fleet)));
    }

    fn fail(&mut self, entry: usize, dispatch: &Dispatch, kind: FailureKind, sent: SendState) {
        let failure = Failure {
            attempt: dispatch.attempt,
            kind,
            sent,
            position: StreamPosition::ZERO,
        };
        self.send_event(entry, Event::Failed(&failure));
    }

    fn send_event(&mut self, entry: usize, event: Event<'_>) {
        let mut out = Vec::new();
        self.entries[entry].handle(event, self.now, &mut out);
        for action in out {
            self.execute(entry, action);
        }
        self.check();
    }

    fn execute(&mut self, entry: usize, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.dispatch(entry, dispatch),
            Action::Refuse(id, refusal) => {
                let ran = self.runs.contains_key(&id);
                assert!(
                    !(refusal.not_run && ran),
                    "a request that ran is refused as not run"
                );
                let mark = if refusal.not_run { "+" } else { "" };
                self.append(id, &format!("{}{mark}", refusal.reason.code()));
            }
            _ => {}
        }
    }

    fn dispatch(&mut self, entry: usize, dispatch: Dispatch) {
        let id = dispatch.attempt.id;
        let expected = dispatch.cached.get() / 10;
        let number = self.engines.iter().position(|e| e.id == dispatch.server);
        let number = number.expect("an engine");
        if self.partitioned[entry] && number != entry {
            return self.fail(
                entry,
                &dispatch,
                FailureKind::Unreachable,
                SendState::Unsent,
            );
        }
        self.append(id, &format!("{expected}/"));
        let request = self.requests[&id].clone();
        self.engines[number]
            .in_flight
            .push((entry, dispatch, request));
    }

    fn append(&mut self, id: RequestId, text: &str) {
        self.results.entry(id).or_default().push_str(text);
    }
}

fn entry(zone: &str) -> Router<PrefixLoad> {
    Router::new(RouterConfig::new(ZoneId::new(zone)), PrefixLoad::new())
}

/// Two engines, one in each zone, and two accounts.
fn fleet() -> Fleet {
    let pool = PoolId::new("engines");
    let service = ModelService::new(ServiceId::new("advice"), pool.clone());
    let base = Fleet::new()
        .with_pool(BackendServerPool::new(pool.clone()))
        .with_service(service)
        .with_account(ClientAccount::new(AccountId::new("x")))
        .with_account(ClientAccount::new(AccountId::new("y")));
    (1..=2).zip(ZONES).fold(base, |fleet, (number, zone)| {
        let id = ServerId::new(&format!("engine-{number}"));
        let address = ([127, 0, 0, 1], 9_000 + number).into();
        let server = BackendServer::new(id, pool.clone(), ZoneId::new(zone), address);
        fleet.with_server(server.with_slots(SLOTS))
    })
}
