//! The simulated site on which steps are carried out: entries, servers and requests.

mod faults;
mod rules;

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

use crate::entry::Entry;
use crate::server::{HEARTBEAT_INTERVAL, Server, cache_key};
use crate::step::Step;
use crate::store::{SERVICE, Store};

/// The number of entries.
const ENTRIES: usize = 3;
/// The number of backend servers.
const SERVERS: usize = 4;
/// The client accounts; the last one is always isolated, so it shares no cached prompt with another.
const ACCOUNTS: [&str; 3] = ["open", "other", "walled"];
/// The number of different prompts.
const PROMPTS: usize = 3;
/// The start time of a run.
const START: Timestamp = Timestamp::from_millis(3_600_000);
/// The longest time between two reads of the store by an entry.
const READ_GAP: Duration = Duration::from_millis(900);

/// The state of a request as its caller and the servers see it.
#[derive(Debug)]
struct Record {
    /// The epoch of the entry that received it.
    epoch: u64,
    account: usize,
    prompt: usize,
    at_most_once: bool,
    runs: u32,
    received: u64,
    ended: bool,
}

/// A simulated site: its entries, its backend servers and the platform's store.
pub struct World {
    now: Timestamp,
    store: Store,
    entries: Vec<Entry>,
    servers: Vec<Server>,
    records: BTreeMap<RequestId, Record>,
    running: Vec<(usize, Dispatch)>,
    /// The arrival time of each request.
    arrivals: Vec<Timestamp>,
    /// The time of each attempt after the first of its request.
    retries: Vec<Timestamp>,
    /// The last number given to an incarnation of a server or to an epoch of an entry.
    last_id: u64,
}

impl World {
    /// Creates a site without faults whose entries have read the store.
    pub fn new() -> Self {
        let weights = WeightsVersion::new(1);
        let servers = (1..=SERVERS).map(|n| Server::new(&format!("r-{n}"), n, n as u64, weights));
        let servers: Vec<_> = servers.collect();
        let mut store = Store::new();
        for server in &servers {
            store.servers.insert(server.id.clone(), server.listed());
        }
        let entries = (1..=ENTRIES as u64).map(|n| Entry::new(n, ENTRIES as u32, START));
        let mut world = Self {
            now: START,
            store,
            entries: entries.collect(),
            servers,
            records: BTreeMap::new(),
            running: Vec::new(),
            arrivals: Vec::new(),
            retries: Vec::new(),
            last_id: SERVERS as u64,
        };
        world.read_all().expect("no rule is broken");
        world
    }

    /// Applies a step.
    pub fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Arrive {
                entry,
                account,
                prompt,
                at_most_once,
            } => self.arrive(
                entry % ENTRIES,
                account % ACCOUNTS.len(),
                prompt % PROMPTS,
                at_most_once,
            ),
            Step::Finish(which) => self.finish(which),
            Step::Break(which, events) => self.break_connection(which, events),
            Step::Disconnect(which) => self.disconnect(which),
            Step::Crash(which) => self.crash(which % SERVERS),
            Step::Leave(which) => self.start_leaving(which % SERVERS),
            Step::Replace(which) => self.replace(which % SERVERS),
            Step::NameWeights => {
                if !self.store.unavailable {
                    self.store.named = (self.store.named.0.next(), self.now);
                }
                Ok(())
            }
            Step::LoadWeights(which) => self.load_weights(which % SERVERS),
            Step::Configure => {
                let version = self.store.document.version;
                self.store.document.version = version.next();
                Ok(())
            }
            Step::Isolate(which) => {
                self.store.toggle_isolated(which % ACCOUNTS.len(), self.now);
                Ok(())
            }
            Step::CutOff(which) => {
                self.entries[which % ENTRIES].cut_off = true;
                Ok(())
            }
            Step::ExpireList => self.expire_list(),
            Step::Reconnect => self.reconnect(),
            Step::HoldUp(which, millis) => {
                let until = self.now + Duration::from_millis(millis);
                self.entries[which % ENTRIES].hold_up(self.now, until);
                Ok(())
            }
            Step::Restart(which) => self.restart(which % ENTRIES),
            Step::Advance(millis) => self.advance(Duration::from_millis(millis).min(READ_GAP)),
        }
    }

    /// Ends every request: those in flight finish and queued ones pass their deadlines.
    pub fn finish_all(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..40 {
            while !self.running.is_empty() {
                self.finish(0)?;
            }
            self.advance(READ_GAP)?;
        }
        let open = self.records.values().filter(|r| !r.ended).count();
        prop_assert_eq!(open, 0, "a request has not ended");
        Ok(())
    }

    fn arrive(
        &mut self,
        at: usize,
        account: usize,
        prompt: usize,
        at_most_once: bool,
    ) -> Result<(), TestCaseError> {
        let entry = &mut self.entries[at];
        let Some(service) = entry.router.fleet().services.get(SERVICE).cloned() else {
            return Ok(());
        };
        entry.sequence += 1;
        let owner = AccountId::new(ACCOUNTS[account]);
        let salt = entry.router.fleet().shared_salt(&owner, &service.id);
        let prompt_text = format!("prompt-{prompt}");
        let request = Request {
            id: RequestId::new(entry.epoch, entry.sequence),
            fingerprint: Fingerprint::of(ACCOUNTS[account], SERVICE, prompt_text.as_bytes()),
            max_attempts: Some(if at_most_once { 1 } else { 3 }),
            time_limit: None,
            prompt: PromptBlocks::new(salt, [prompt_text.as_bytes()]).with_shared_salt(),
            account: owner,
            service: service.id,
            rank: Rank::Drafting,
            kind: if at_most_once {
                RequestKind::AtMostOnce
            } else {
                RequestKind::Repeatable
            },
            worth: Worth::new(1),
            deadline: Deadline::new(self.now + Duration::from_secs(10)),
            arrived: self.now,
            weights: service.weights,
            max_output: TokenCount::new(100),
            usage: None,
            idempotency_key: None,
        };
        let record = Record {
            epoch: entry.epoch,
            account,
            prompt,
            at_most_once,
            runs: 0,
            received: 0,
            ended: false,
        };
        self.records.insert(request.id, record);
        self.arrivals.push(self.now);
        self.handle(at, Event::Arrived(&request))
    }

    fn finish(&mut self, which: usize) -> Result<(), TestCaseError> {
        let Some((at, dispatch)) = self.take_running(which) else {
            return Ok(());
        };
        let id = dispatch.attempt.id;
        let (account, prompt) = self
            .records
            .get(&id)
            .map_or((0, 0), |r| (r.account, r.prompt));
        if let Some(server) = self.servers.iter_mut().find(|s| s.id == dispatch.server) {
            // An attempt fills the cache with the weights that it started with, also if the server
            // has loaded newer ones since.
            let origin = (account, dispatch.weights);
            server.cached.insert((cache_key(&dispatch), prompt), origin);
        }
        self.mark_ended(id);
        let finish = Finish {
            attempt: dispatch.attempt,
            cached: TokenCount::ZERO,
            output: TokenCount::new(3),
        };
        self.handle(at, Event::Finished(&finish))
    }

    fn advance(&mut self, time: Duration) -> Result<(), TestCaseError> {
        self.now = self.now + time;
        for which in 0..SERVERS {
            self.heartbeat(which);
        }
        self.read_all()?;
        (0..ENTRIES).try_for_each(|at| self.handle(at, Event::Tick))
    }

    /// Updates a server's registration in the store if the server is up and its heartbeat is due.
    fn heartbeat(&mut self, which: usize) {
        let server = &mut self.servers[which];
        server.down_until = server.down_until.filter(|at| *at > self.now);
        if !self.store.unavailable
            && server.down_until.is_none()
            && server.next_heartbeat <= self.now
        {
            server.next_heartbeat = self.now + HEARTBEAT_INTERVAL;
            self.store
                .servers
                .insert(server.id.clone(), server.listed());
        }
    }

    fn read_all(&mut self) -> Result<(), TestCaseError> {
        (0..ENTRIES).try_for_each(|at| self.read(at))
    }

    fn read(&mut self, at: usize) -> Result<(), TestCaseError> {
        let (mut out, entry) = (Vec::new(), &mut self.entries[at]);
        let known: Vec<_> = entry.router.fleet().servers.keys().cloned().collect();
        let before = (entry.router.fleet().version, entry.site.version());
        entry.read(&self.store, self.now, &mut out);
        let after = (entry.router.fleet().version, entry.site.version());
        prop_assert!(
            after >= before,
            "a configuration is replaced by an older one"
        );
        let entry = &self.entries[at];
        let fleet = entry.router.fleet();
        for id in known.iter().filter(|id| !fleet.servers.contains_key(*id)) {
            let running = |s: &&Server| s.id == *id && s.down_until.is_none() && !s.leaving;
            // After an outage of the store, a server that is up has one heartbeat interval in which
            // to be listed again.
            let grace = self.entries[at]
                .restored
                .is_some_and(|at| self.now.since(at) < HEARTBEAT_INTERVAL);
            let lost = grace && self.servers.iter().any(|s| running(&s));
            prop_assert!(
                !lost,
                "a server that is up is removed before it could be listed again"
            );
        }
        self.perform(at, out)
    }

    fn handle(&mut self, at: usize, event: Event<'_>) -> Result<(), TestCaseError> {
        let mut out = Vec::new();
        self.entries[at].router.handle(event, self.now, &mut out);
        self.perform(at, out)
    }

    fn perform(&mut self, at: usize, actions: Vec<Action>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Dispatch(dispatch) => self.dispatch(at, &dispatch)?,
                Action::Refuse(id, refusal) => self.refuse(id, &refusal)?,
                Action::Cancel(attempt) => self.running.retain(|(_, d)| d.attempt != attempt),
                _ => {}
            }
        }
        Ok(())
    }

    fn dispatch(&mut self, at: usize, dispatch: &Dispatch) -> Result<(), TestCaseError> {
        self.check_dispatch(at, dispatch)?;
        if dispatch.attempt.number > 1 {
            self.retries.push(self.now);
            self.check_budget()?;
        }
        let addressed = self.servers.iter().find(|s| s.address == dispatch.address);
        let up = addressed.filter(|s| s.down_until.is_none());
        let Some(server) = up else {
            return self.fail(at, dispatch, FailureKind::Unreachable, SendState::Unsent);
        };
        if server.id != dispatch.server || server.weights != dispatch.weights {
            return self.fail(at, dispatch, FailureKind::Mismatch, SendState::Rejected);
        }
        self.check_cached(at, dispatch)?;
        if let Some(record) = self.records.get_mut(&dispatch.attempt.id) {
            record.runs += 1;
            prop_assert!(
                !record.at_most_once || record.runs == 1,
                "an at-most-once request runs more than once"
            );
        }
        self.running.push((at, dispatch.clone()));
        Ok(())
    }

    fn refuse(&mut self, id: RequestId, refusal: &Refusal) -> Result<(), TestCaseError> {
        let runs = self.records[&id].runs;
        prop_assert!(
            !refusal.not_run || runs == 0,
            "a request that is refused as not run has run"
        );
        self.mark_ended(id);
        Ok(())
    }

    fn fail_server(&mut self, server: &ServerId) -> Result<(), TestCaseError> {
        let running = std::mem::take(&mut self.running);
        let (failed, kept): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|(_, d)| d.server == *server);
        self.running = kept;
        failed.iter().try_for_each(|(at, dispatch)| {
            self.fail(*at, dispatch, FailureKind::Broken, SendState::MaybeRun)
        })
    }

    fn fail(
        &mut self,
        at: usize,
        dispatch: &Dispatch,
        kind: FailureKind,
        sent: SendState,
    ) -> Result<(), TestCaseError> {
        let received = self
            .records
            .get(&dispatch.attempt.id)
            .map_or(0, |r| r.received);
        let failure = Failure {
            attempt: dispatch.attempt,
            kind,
            sent,
            position: StreamPosition::new(received),
        };
        self.handle(at, Event::Failed(&failure))
    }

    fn take_running(&mut self, which: usize) -> Option<(usize, Dispatch)> {
        let index = which.checked_rem(self.running.len())?;
        Some(self.running.remove(index))
    }

    fn mark_ended(&mut self, id: RequestId) {
        if let Some(record) = self.records.get_mut(&id) {
            record.ended = true;
        }
    }
}
