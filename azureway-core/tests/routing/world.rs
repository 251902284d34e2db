//! Two entries, two engines, and what the requests saw.
#![expect(unreachable_pub, reason = "a test's module has no outside")]

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::prelude::*;

use super::engine::Engine;

/// The slots of an engine.
pub const SLOTS: u32 = 4;
/// The bytes of a level, a block of ten tokens.
const LEVEL: usize = 40;
/// The zones of the entries and of the engines.
const ZONES: [&str; 2] = ["a", "b"];

/// Two entries, two engines, and what the requests saw.
pub struct World {
    pub now: Timestamp,
    pub engines: Vec<Engine>,
    pub seen: BTreeMap<RequestId, String>,
    pub ran: BTreeMap<RequestId, u32>,
    entries: Vec<Router<PrefixLoad>>,
    requests: BTreeMap<RequestId, Request>,
    cut: [bool; 2],
    fleet: Fleet,
    /// The requests that entries counted, or lost, before they started anew.
    past: u64,
}

impl World {
    pub fn new() -> Self {
        let engines = (1..=2).map(|n| Engine::new(ServerId::new(&format!("engine-{n}"))));
        let mut world = Self {
            now: Timestamp::from_millis(1),
            engines: engines.collect(),
            seen: BTreeMap::new(),
            ran: BTreeMap::new(),
            entries: ZONES.map(entry).into(),
            requests: BTreeMap::new(),
            cut: [false; 2],
            fleet: fleet(),
            past: 0,
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
            chain: BlockChain::new(salt, levels),
            account,
            service,
            rank,
            kind: RequestKind::Repeatable,
            worth: Worth::new(1),
            deadline: Deadline::new(self.now + Duration::from_secs(10)),
            arrived: self.now,
            weights,
            max_output: TokenCount::new(10),
            idempotency_key: None,
        };
        self.requests.insert(request.id, request.clone());
        self.seen.insert(request.id, String::new());
        self.tell(entry, Event::Arrived(&request));
    }

    /// Lets an engine run everything that it was sent.
    pub fn run(&mut self, place: usize) {
        for (entry, order, request) in std::mem::take(&mut self.engines[place].held) {
            let engine = &mut self.engines[place];
            if !engine.takes(&order) {
                self.note(order.attempt.id, "!");
                self.fail(entry, &order, FailureKind::Mismatch, SendState::Rejected);
                continue;
            }
            let used = engine.run(&order, &request);
            *self.ran.entry(request.id).or_default() += 1;
            self.note(order.attempt.id, &used.to_string());
            let finish = Finish {
                attempt: order.attempt,
                cached: TokenCount::new(used as u64 * 10),
                output: TokenCount::new(10),
            };
            self.tell(entry, Event::Started(order.attempt));
            self.tell(entry, Event::Finished(&finish));
        }
    }

    /// Lets an engine's news or its whole content reach an entry, unless `lost`.
    pub fn news(&mut self, place: usize, entry: usize, whole: bool, lost: bool) {
        let engine = &mut self.engines[place];
        let (report, id) = (engine.report(false), engine.id.clone());
        let (first, ops) = if whole {
            engine.whole()
        } else {
            engine.news(entry)
        };
        if lost || (self.cut[entry] && place != entry) {
            return;
        }
        let update = CacheUpdate {
            server: &id,
            incarnation: report.incarnation,
            first,
            snapshot: whole,
            ops: &ops,
        };
        self.tell(entry, Event::Load(&report));
        self.tell(entry, Event::Cache(&update));
    }

    pub fn crash(&mut self, place: usize) {
        let life = self.engines[place].life + 1;
        let broken = self.engines[place].restart(life);
        for (entry, order, request) in broken {
            *self.ran.entry(request.id).or_default() += 1;
            self.note(order.attempt.id, "~");
            self.fail(entry, &order, FailureKind::Broken, SendState::MaybeRun);
        }
    }

    /// Puts another process in the place of an engine, under the same life number.
    pub fn replace(&mut self, place: usize, address: bool) {
        let life = self.engines[place].life;
        self.engines[place].restart(life);
        if address {
            let id = self.engines[place].id.clone();
            let server = self.fleet.servers.get_mut(&id).expect("a server");
            server.address.set_port(server.address.port() + 100);
            self.configure();
        }
    }

    /// Starts an entry anew: its requests end without an answer.
    pub fn restart(&mut self, number: usize) {
        let fresh = entry(ZONES[number]);
        let old = std::mem::replace(&mut self.entries[number], fresh);
        self.past += old.tally().total() + old.tally().pending() as u64;
        for engine in &mut self.engines {
            engine.held.retain(|(e, _, _)| *e != number);
        }
        let ids = RequestId::new(number as u64, 0)..RequestId::new(number as u64 + 1, 0);
        for (_, seen) in self.seen.range_mut(ids) {
            seen.push(';');
        }
        let fleet = self.fleet.clone();
        self.tell(number, Event::Configured(&fleet));
    }

    pub fn cut(&mut self, entry: usize) {
        self.cut[entry] = true;
    }

    pub fn alone(&mut self) {
        self.fleet.servers.pop_last();
        self.configure();
    }

    pub fn weights(&mut self, weights: u64) {
        let service = self.fleet.services.values_mut().next().expect("one");
        service.weights = WeightsVersion::new(weights);
        self.configure();
    }

    pub fn wait(&mut self, millis: u64) {
        self.now = self.now + Duration::from_millis(millis);
        (0..self.entries.len()).for_each(|e| self.tell(e, Event::Tick));
    }

    /// Checks what must hold after every event.
    pub fn check(&self) {
        let counted: u64 = self.entries.iter().map(|e| e.tally().total()).sum();
        let open: usize = self.entries.iter().map(|e| e.tally().pending()).sum();
        let arrived = self.requests.len();
        assert_eq!(
            (self.past + counted) as usize + open,
            arrived,
            "each is counted once"
        );
        let active: usize = self.entries.iter().map(Router::active).sum();
        assert_eq!(open, active, "what is not counted waits or is in flight");
        for state in self.entries.iter().flat_map(|e| e.servers().iter()) {
            assert!(state.in_flight() <= SLOTS, "an entry overfills an engine");
        }
    }

    fn configure(&mut self) {
        self.fleet.version = self.fleet.version.next();
        let fleet = self.fleet.clone();
        (0..self.entries.len()).for_each(|e| self.tell(e, Event::Configured(&fleet)));
    }

    fn fail(&mut self, entry: usize, order: &Dispatch, kind: FailureKind, sent: SendState) {
        let failure = Failure {
            attempt: order.attempt,
            kind,
            sent,
            position: StreamPosition::ZERO,
        };
        self.tell(entry, Event::Failed(&failure));
    }

    fn tell(&mut self, entry: usize, event: Event<'_>) {
        let mut out = Vec::new();
        self.entries[entry].handle(event, self.now, &mut out);
        for action in out {
            self.act(entry, action);
        }
        self.check();
    }

    fn act(&mut self, entry: usize, action: Action) {
        match action {
            Action::Dispatch(order) => self.dispatch(entry, order),
            Action::Refuse(id, refusal) => {
                let ran = self.ran.contains_key(&id);
                assert!(!(refusal.not_run && ran), "a false not run");
                let mark = if refusal.not_run { "+" } else { "" };
                self.note(id, &format!("{}{mark}", refusal.reason.code()));
            }
            _ => {}
        }
    }

    fn dispatch(&mut self, entry: usize, order: Dispatch) {
        let id = order.attempt.id;
        let believed = order.cached.get() / 10;
        let place = self.engines.iter().position(|e| e.id == order.server);
        let place = place.expect("an engine");
        if self.cut[entry] && place != entry {
            return self.fail(entry, &order, FailureKind::Unreachable, SendState::Unsent);
        }
        self.note(id, &format!("{believed}/"));
        let request = self.requests[&id].clone();
        self.engines[place].held.push((entry, order, request));
    }

    fn note(&mut self, id: RequestId, text: &str) {
        self.seen.entry(id).or_default().push_str(text);
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
