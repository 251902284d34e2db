//! A site in a drawn run.

mod faults;
mod rules;

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

use crate::entry::Entry;
use crate::replica::{BEAT, Replica, text};
use crate::step::Step;
use crate::store::{SERVICE, Store};

/// The entries.
const ENTRIES: usize = 3;
/// The replicas.
const REPLICAS: usize = 4;
/// The accounts; the last one shares no part with another.
const ACCOUNTS: [&str; 3] = ["open", "other", "walled"];
/// The prompts.
const PROMPTS: usize = 3;
/// The time of day at which a run begins.
const START: Timestamp = Timestamp::from_millis(3_600_000);
/// The longest time between two reads of the store.
const READ_GAP: Duration = Duration::from_millis(900);

/// What the run knows of a request.
#[derive(Debug)]
struct Record {
    /// The life of the entry that has it.
    epoch: u64,
    account: usize,
    prompt: usize,
    once: bool,
    runs: u32,
    received: u64,
    ended: bool,
}

/// A site in a drawn run.
pub struct World {
    now: Timestamp,
    store: Store,
    entries: Vec<Entry>,
    replicas: Vec<Replica>,
    records: BTreeMap<RequestId, Record>,
    running: Vec<(usize, Dispatch)>,
    /// When each request came and when each arrival beyond the first.
    asked: Vec<Timestamp>,
    again: Vec<Timestamp>,
    lives: u64,
}

impl World {
    /// Creates a site in which all is well.
    pub fn new() -> Self {
        let weights = WeightsVersion::new(1);
        let replicas =
            (1..=REPLICAS).map(|n| Replica::new(&format!("r-{n}"), n, n as u64, weights));
        let replicas: Vec<_> = replicas.collect();
        let mut store = Store::new();
        for replica in &replicas {
            store.entries.insert(replica.id.clone(), replica.entry());
        }
        let entries = (1..=ENTRIES as u64).map(|n| Entry::new(n, ENTRIES as u32, START));
        let mut world = Self {
            now: START,
            store,
            entries: entries.collect(),
            replicas,
            records: BTreeMap::new(),
            running: Vec::new(),
            asked: Vec::new(),
            again: Vec::new(),
            lives: REPLICAS as u64,
        };
        world.read_all().expect("nothing runs");
        world
    }

    /// Lets one thing happen.
    pub fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        match *step {
            Step::Arrive {
                entry,
                account,
                prompt,
                once,
            } => self.arrive(
                entry % ENTRIES,
                account % ACCOUNTS.len(),
                prompt % PROMPTS,
                once,
            ),
            Step::Finish(which) => self.finish(which),
            Step::Break(which, events) => self.break_off(which, events),
            Step::HangUp(which) => self.hang_up(which),
            Step::Crash(which) => self.crash(which % REPLICAS),
            Step::Leave(which) => self.leave(which % REPLICAS),
            Step::Replace(which) => self.replace(which % REPLICAS),
            Step::Name => {
                if !self.store.away {
                    self.store.named = (self.store.named.0.next(), self.now);
                }
                Ok(())
            }
            Step::Load(which) => self.load(which % REPLICAS),
            Step::Configure => {
                let version = self.store.document.version;
                self.store.document.version = version.next();
                Ok(())
            }
            Step::Away(which) => {
                self.entries[which % ENTRIES].away = true;
                Ok(())
            }
            Step::Lapse => self.lapse(),
            Step::Back => self.come_back(),
            Step::Restart(which) => self.restart(which % ENTRIES),
            Step::Pass(millis) => self.pass(Duration::from_millis(millis).min(READ_GAP)),
        }
    }

    /// Lets everything end: what runs finishes, and what waits meets its deadline.
    pub fn settle(&mut self) -> Result<(), TestCaseError> {
        for _ in 0..40 {
            while !self.running.is_empty() {
                self.finish(0)?;
            }
            self.pass(READ_GAP)?;
        }
        let open = self.records.values().filter(|r| !r.ended).count();
        prop_assert_eq!(open, 0, "every request has an end");
        Ok(())
    }

    fn arrive(
        &mut self,
        at: usize,
        account: usize,
        prompt: usize,
        once: bool,
    ) -> Result<(), TestCaseError> {
        let entry = &mut self.entries[at];
        let Some(service) = entry.router.fleet().services.get(SERVICE).cloned() else {
            return Ok(());
        };
        entry.sequence += 1;
        let owner = if ACCOUNTS[account] == "walled" {
            "walled"
        } else {
            ""
        };
        let salt = Salt::new(&AccountId::new(owner), &service.id, WeightsVersion::ZERO);
        let level = format!("prompt-{prompt}");
        let request = Request {
            id: RequestId::new(entry.epoch, entry.sequence),
            fingerprint: Fingerprint::of(ACCOUNTS[account], SERVICE, level.as_bytes()),
            max_attempts: Some(if once { 1 } else { 3 }),
            chain: BlockChain::new(salt, [level.as_bytes()]),
            account: AccountId::new(ACCOUNTS[account]),
            service: service.id,
            rank: Rank::Drafting,
            kind: if once {
                RequestKind::AtMostOnce
            } else {
                RequestKind::Repeatable
            },
            worth: Worth::new(1),
            deadline: Deadline::new(self.now + Duration::from_secs(10)),
            arrived: self.now,
            weights: service.weights,
            max_output: TokenCount::new(100),
            idempotency_key: None,
        };
        let record = Record {
            epoch: entry.epoch,
            account,
            prompt,
            once,
            runs: 0,
            received: 0,
            ended: false,
        };
        self.records.insert(request.id, record);
        self.asked.push(self.now);
        self.tell(at, Event::Arrived(&request))
    }

    fn finish(&mut self, which: usize) -> Result<(), TestCaseError> {
        let Some((at, order)) = self.pick(which) else {
            return Ok(());
        };
        let id = order.attempt.id;
        let (account, prompt) = self
            .records
            .get(&id)
            .map_or((0, 0), |r| (r.account, r.prompt));
        if let Some(replica) = self.replicas.iter_mut().find(|r| r.id == order.server) {
            // What a run leaves was made under the weights that it began with.
            let made = (account, order.weights);
            replica.parts.insert((text(&order), prompt), made);
        }
        self.end(id);
        let finish = Finish {
            attempt: order.attempt,
            cached: TokenCount::ZERO,
            output: TokenCount::new(3),
        };
        self.tell(at, Event::Finished(&finish))
    }

    fn pass(&mut self, time: Duration) -> Result<(), TestCaseError> {
        self.now = self.now + time;
        for which in 0..REPLICAS {
            self.beat(which);
        }
        self.read_all()?;
        (0..ENTRIES).try_for_each(|at| self.tell(at, Event::Tick))
    }

    /// A replica that lives tells the store of itself now and then.
    fn beat(&mut self, which: usize) {
        let replica = &mut self.replicas[which];
        replica.down = replica.down.filter(|at| *at > self.now);
        if !self.store.away && replica.down.is_none() && replica.beat <= self.now {
            replica.beat = self.now + BEAT;
            self.store
                .entries
                .insert(replica.id.clone(), replica.entry());
        }
    }

    fn read_all(&mut self) -> Result<(), TestCaseError> {
        (0..ENTRIES).try_for_each(|at| self.read(at))
    }

    fn read(&mut self, at: usize) -> Result<(), TestCaseError> {
        let (mut out, entry) = (Vec::new(), &mut self.entries[at]);
        let had: Vec<_> = entry.router.fleet().servers.keys().cloned().collect();
        let before = (entry.router.fleet().version, entry.site.version());
        entry.read(&self.store, self.now, &mut out);
        let after = (entry.router.fleet().version, entry.site.version());
        prop_assert!(after >= before, "a configuration never goes back");
        let entry = &self.entries[at];
        let fleet = entry.router.fleet();
        for id in had.iter().filter(|id| !fleet.servers.contains_key(*id)) {
            let lives = |r: &&Replica| r.id == *id && r.down.is_none() && !r.leaving;
            // It has had the time of a beat since the store came back.
            let in_time = self.entries[at]
                .back
                .is_some_and(|b| self.now.since(b) < BEAT);
            let lost = in_time && self.replicas.iter().any(|r| lives(&r));
            prop_assert!(
                !lost,
                "a replica that lapsed while the store was away is kept"
            );
        }
        self.act(at, out)
    }

    fn tell(&mut self, at: usize, event: Event<'_>) -> Result<(), TestCaseError> {
        let mut out = Vec::new();
        self.entries[at].router.handle(event, self.now, &mut out);
        self.act(at, out)
    }

    fn act(&mut self, at: usize, actions: Vec<Action>) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Dispatch(order) => self.dispatch(at, &order)?,
                Action::Refuse(id, refusal) => self.refuse(id, &refusal)?,
                Action::Cancel(attempt) => self.running.retain(|(_, o)| o.attempt != attempt),
                _ => {}
            }
        }
        Ok(())
    }

    fn dispatch(&mut self, at: usize, order: &Dispatch) -> Result<(), TestCaseError> {
        self.check_order(at, order)?;
        if order.attempt.number > 1 {
            self.again.push(self.now);
            self.check_budget()?;
        }
        let there = self.replicas.iter().find(|r| r.address == order.address);
        let up = there.filter(|r| r.down.is_none());
        let Some(replica) = up else {
            return self.fail(at, order, FailureKind::Unreachable, SendState::Unsent);
        };
        if replica.id != order.server || replica.weights != order.weights {
            return self.fail(at, order, FailureKind::Mismatch, SendState::Rejected);
        }
        self.check_parts(order)?;
        if let Some(record) = self.records.get_mut(&order.attempt.id) {
            record.runs += 1;
            prop_assert!(!record.once || record.runs == 1, "it runs at most once");
        }
        self.running.push((at, order.clone()));
        Ok(())
    }

    fn refuse(&mut self, id: RequestId, refusal: &Refusal) -> Result<(), TestCaseError> {
        let runs = self.records[&id].runs;
        prop_assert!(
            !refusal.not_run || runs == 0,
            "what is said not to have run has not"
        );
        self.end(id);
        Ok(())
    }

    fn fail_all(&mut self, server: &ServerId) -> Result<(), TestCaseError> {
        let runs = std::mem::take(&mut self.running);
        let (lost, kept): (Vec<_>, Vec<_>) =
            runs.into_iter().partition(|(_, o)| o.server == *server);
        self.running = kept;
        lost.iter().try_for_each(|(at, order)| {
            self.fail(*at, order, FailureKind::Broken, SendState::MaybeRun)
        })
    }

    fn fail(
        &mut self,
        at: usize,
        order: &Dispatch,
        kind: FailureKind,
        sent: SendState,
    ) -> Result<(), TestCaseError> {
        let received = self
            .records
            .get(&order.attempt.id)
            .map_or(0, |r| r.received);
        let failure = Failure {
            attempt: order.attempt,
            kind,
            sent,
            position: StreamPosition::new(received),
        };
        self.tell(at, Event::Failed(&failure))
    }

    fn pick(&mut self, which: usize) -> Option<(usize, Dispatch)> {
        let place = which.checked_rem(self.running.len())?;
        Some(self.running.remove(place))
    }

    fn end(&mut self, id: RequestId) {
        if let Some(record) = self.records.get_mut(&id) {
            record.ended = true;
        }
    }
}
