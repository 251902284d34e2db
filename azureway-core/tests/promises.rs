//! Invariants of the router, checked after every event of randomized runs.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azureway_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use support::{RouterFixture, fleet};

/// The seed of the randomized runs.
const SEED: [u8; 32] = *b"azureway promises, first seed   ";
/// The number of randomized runs.
const RUN_COUNT: u32 = 400;
/// The exclusive upper bound on the events of a run.
const STEP_LIMIT: usize = 120;
/// The number of servers in the pool.
const SERVERS: usize = 3;
/// The time limit of the answers that have one, longer than some steps of a run.
const TIME_LIMIT: Duration = Duration::from_millis(4_000);
/// The number of slots of each server.
const SLOTS: u32 = 2;

/// One step of a randomized run. A number selects among the existing items, modulo their count.
#[derive(Clone, Debug)]
enum Step {
    Arrive {
        urgent: bool,
        once: bool,
        large: bool,
    },
    Finish(usize),
    Start(usize),
    Fail {
        which: usize,
        kind: usize,
        sent: usize,
        gained: u64,
    },
    RepeatFailure(usize),
    Disconnect(usize),
    Restart(usize),
    Leave(usize),
    Announce(usize),
    Pass(u64),
    Configure(bool),
    Drain,
}

/// The expected state of a request.
#[derive(Debug, Default)]
struct Record {
    once: bool,
    maybe_run: bool,
    ended: bool,
    attempts: u32,
    position: u64,
    time_limit: Option<Timestamp>,
}

/// A run of the router with the model that its actions are checked against.
struct Run {
    fixture: RouterFixture,
    records: BTreeMap<RequestId, Record>,
    in_flight: Vec<Dispatch>,
    failures: Vec<Failure>,
    incarnations: [u64; SERVERS],
    leaving: BTreeSet<ServerId>,
    draining: bool,
}

const FAILURE_KINDS: [FailureKind; 6] = [
    FailureKind::Unreachable,
    FailureKind::Mismatch,
    FailureKind::Busy,
    FailureKind::Broken,
    FailureKind::Silent,
    FailureKind::Faulty,
];
const SEND_STATES: [SendState; 3] = [SendState::Unsent, SendState::Rejected, SendState::MaybeRun];

fn server_id(number: usize) -> ServerId {
    ServerId::new(&format!("engine-{}", number % SERVERS + 1))
}

impl Run {
    fn new() -> Self {
        Self {
            fixture: RouterFixture::new(SERVERS, SLOTS),
            records: BTreeMap::new(),
            in_flight: Vec::new(),
            failures: Vec::new(),
            incarnations: [1; SERVERS],
            leaving: BTreeSet::new(),
            draining: false,
        }
    }

    fn step(&mut self, step: &Step) -> Result<(), TestCaseError> {
        let actions = match *step {
            Step::Arrive {
                urgent,
                once,
                large,
            } => self.arrive(urgent, once, large),
            Step::Finish(which) => self.finish(which),
            Step::Start(which) => self.start(which),
            Step::Fail {
                which,
                kind,
                sent,
                gained,
            } => self.fail(which, kind, sent, gained),
            Step::RepeatFailure(which) => self.repeat_failure(which),
            Step::Disconnect(which) => self.disconnect(which),
            Step::Restart(number) => self.report(number, true, false),
            Step::Leave(number) => self.report(number, false, true),
            Step::Announce(number) => self.announce(number),
            Step::Pass(millis) => self.fixture.advance(Duration::from_millis(millis)),
            Step::Configure(newer) => self.configure(newer),
            Step::Drain => {
                self.draining = true;
                self.fixture.handle(Event::Draining)
            }
        };
        self.check(&actions)
    }

    fn arrive(&mut self, urgent: bool, once: bool, large: bool) -> Vec<Action> {
        let mut request = self
            .fixture
            .request(if large { "large" } else { "small" }, &["house"]);
        request.rank = if urgent { Rank::Urgent } else { Rank::Drafting };
        request.kind = if once {
            RequestKind::AtMostOnce
        } else {
            RequestKind::Repeatable
        };
        if urgent == large {
            let limit = self.fixture.now + TIME_LIMIT;
            (request.time_limit, request.deadline) = (Some(limit), Deadline::new(limit));
        }
        self.records.insert(
            request.id,
            Record {
                once,
                time_limit: request.time_limit,
                ..Record::default()
            },
        );
        self.fixture.handle(Event::Arrived(&request))
    }

    fn pick(&mut self, which: usize) -> Option<Dispatch> {
        let index = which.checked_rem(self.in_flight.len())?;
        Some(self.in_flight.remove(index))
    }

    fn finish(&mut self, which: usize) -> Vec<Action> {
        let Some(dispatch) = self.pick(which) else {
            return Vec::new();
        };
        self.end(dispatch.attempt.id);
        let (cached, output) = (TokenCount::ZERO, TokenCount::new(3));
        self.fixture.handle(Event::Finished(&Finish {
            attempt: dispatch.attempt,
            cached,
            output,
        }))
    }

    fn start(&mut self, which: usize) -> Vec<Action> {
        let Some(index) = which.checked_rem(self.in_flight.len()) else {
            return Vec::new();
        };
        let attempt = self.in_flight[index].attempt;
        self.fixture.handle(Event::Started(attempt))
    }

    fn fail(&mut self, which: usize, kind: usize, sent: usize, gained: u64) -> Vec<Action> {
        let Some(dispatch) = self.pick(which) else {
            return Vec::new();
        };
        let sent = SEND_STATES[sent % SEND_STATES.len()];
        let record = self.records.entry(dispatch.attempt.id).or_default();
        record.maybe_run |= sent == SendState::MaybeRun;
        // Only a server that ran the request can have streamed events.
        record.position += if sent == SendState::MaybeRun {
            gained
        } else {
            0
        };
        let position = StreamPosition::new(record.position);
        let kind = FAILURE_KINDS[kind % FAILURE_KINDS.len()];
        let failure = Failure {
            attempt: dispatch.attempt,
            kind,
            sent,
            position,
        };
        self.failures.push(failure);
        self.fixture.handle(Event::Failed(&failure))
    }

    /// Repeats an earlier failure event, which must have no effect.
    fn repeat_failure(&mut self, which: usize) -> Vec<Action> {
        let Some(index) = which.checked_rem(self.failures.len()) else {
            return Vec::new();
        };
        let failure = self.failures[index];
        self.fixture.handle(Event::Failed(&failure))
    }

    fn disconnect(&mut self, which: usize) -> Vec<Action> {
        let live: Vec<_> = self
            .records
            .iter()
            .filter(|(_, r)| !r.ended)
            .map(|(i, _)| *i)
            .collect();
        let Some(index) = which.checked_rem(live.len()) else {
            return Vec::new();
        };
        self.end(live[index]);
        self.in_flight.retain(|d| d.attempt.id != live[index]);
        self.fixture.handle(Event::CallerDisconnected(live[index]))
    }

    fn report(&mut self, number: usize, restart: bool, leaving: bool) -> Vec<Action> {
        let number = number % SERVERS;
        self.incarnations[number] += u64::from(restart);
        let id = server_id(number);
        if leaving {
            self.leaving.insert(id.clone());
        }
        let report = LoadReport {
            pace: None,
            leaving: self.leaving.contains(&id),
            server: id,
            incarnation: Incarnation::new(self.incarnations[number]),
            weights: WeightsVersion::new(1),
            running: 0,
            queued: 0,
            pending: TokenCount::ZERO,
        };
        self.fixture.handle(Event::Load(&report))
    }

    /// Lets a server say with an answer that it leaves.
    fn announce(&mut self, number: usize) -> Vec<Action> {
        let id = server_id(number % SERVERS);
        self.leaving.insert(id.clone());
        let update = ServerUpdate {
            server: id,
            incarnation: Incarnation::new(self.incarnations[number % SERVERS]),
            status: ServerStatus::Leaving,
        };
        self.fixture.handle(Event::Announced(&update))
    }

    fn configure(&mut self, newer: bool) -> Vec<Action> {
        let version = self.fixture.router.fleet().version.get();
        let next = if newer {
            version + 1
        } else {
            version.saturating_sub(1)
        };
        let fleet = fleet(SERVERS, SLOTS).with_version(ConfigVersion::new(next));
        let actions = self.fixture.handle(Event::Configured(&fleet));
        assert!(
            self.fixture.router.fleet().version.get() >= version,
            "the configuration version decreased"
        );
        actions
    }

    fn end(&mut self, id: RequestId) {
        self.records.entry(id).or_default().ended = true;
    }

    fn check(&mut self, actions: &[Action]) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Dispatch(dispatch) => self.check_dispatch(dispatch)?,
                Action::Refuse(id, refusal) => self.check_refusal(*id, refusal)?,
                Action::Cancel(attempt) => self.cancel(*attempt),
                _ => {}
            }
        }
        let now = self.fixture.now;
        prop_assert!(
            self.records
                .values()
                .all(|r| r.ended || r.time_limit.is_none_or(|limit| limit >= now)),
            "no request outlives its time limit"
        );
        for state in self.fixture.router.servers().iter() {
            let in_flight = self
                .in_flight
                .iter()
                .filter(|d| d.server == state.server.id)
                .count();
            prop_assert_eq!(
                state.in_flight() as usize,
                in_flight,
                "requests in flight are counted"
            );
            prop_assert!(
                in_flight <= SLOTS as usize,
                "no more requests in flight than slots"
            );
        }
        Ok(())
    }

    /// Records that the router has stopped an attempt, whose server may have run the request.
    fn cancel(&mut self, attempt: Attempt) {
        self.in_flight.retain(|d| d.attempt != attempt);
        self.records.entry(attempt.id).or_default().maybe_run = true;
    }

    fn check_dispatch(&mut self, dispatch: &Dispatch) -> Result<(), TestCaseError> {
        let record = self.records.entry(dispatch.attempt.id).or_default();
        prop_assert!(!record.ended, "an ended request is not dispatched");
        prop_assert!(
            !(record.once && record.maybe_run),
            "an at-most-once request that may have run is not dispatched again"
        );
        prop_assert_eq!(
            dispatch.attempt.number,
            record.attempts + 1,
            "attempts are numbered consecutively"
        );
        prop_assert_eq!(
            dispatch.position.get(),
            record.position,
            "a stream resumes where it stopped"
        );
        prop_assert!(
            !self.leaving.contains(&dispatch.server),
            "a leaving server receives no new requests"
        );
        let running = self
            .in_flight
            .iter()
            .any(|d| d.attempt.id == dispatch.attempt.id);
        prop_assert!(!running, "a request has one attempt at a time");
        record.attempts += 1;
        self.in_flight.push(dispatch.clone());
        Ok(())
    }

    fn check_refusal(&mut self, id: RequestId, refusal: &Refusal) -> Result<(), TestCaseError> {
        let record = self.records.entry(id).or_default();
        prop_assert!(!record.ended, "a request ends once");
        prop_assert!(
            !(refusal.not_run && record.maybe_run),
            "a refusal that says not run is true"
        );
        record.ended = true;
        let running = self.in_flight.iter().any(|d| d.attempt.id == id);
        prop_assert!(!running, "a request in flight is not refused");
        Ok(())
    }

    /// Ends every request: those in flight finish and queued ones pass their deadlines.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        while !self.in_flight.is_empty() {
            self.step(&Step::Finish(0))?;
        }
        self.step(&Step::Drain)?;
        for _ in 0..20 {
            self.step(&Step::Pass(10_001))?;
            while !self.in_flight.is_empty() {
                self.step(&Step::Finish(0))?;
            }
        }
        prop_assert_eq!(self.fixture.router.active(), 0, "no request is left active");
        prop_assert!(
            self.records.values().all(|r| r.ended),
            "every request has ended"
        );
        Ok(())
    }
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let which = any::<usize>;
    let step = prop_oneof![
        6 => any::<(bool, bool, bool)>()
            .prop_map(|(urgent, once, large)| Step::Arrive { urgent, once, large }),
        3 => which().prop_map(Step::Finish),
        2 => which().prop_map(Step::Start),
        4 => (which(), which(), which(), 0..5u64)
            .prop_map(|(which, kind, sent, gained)| Step::Fail { which, kind, sent, gained }),
        1 => which().prop_map(Step::RepeatFailure),
        1 => which().prop_map(Step::Disconnect),
        1 => which().prop_map(Step::Restart),
        1 => which().prop_map(Step::Leave),
        1 => which().prop_map(Step::Announce),
        3 => (0..3_000u64).prop_map(Step::Pass),
        1 => any::<bool>().prop_map(Step::Configure),
    ];
    prop::collection::vec(step, 1..STEP_LIMIT)
}

#[test]
fn the_invariants_hold_after_every_event() {
    let config = Config {
        cases: RUN_COUNT,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &SEED);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let result = runner.run(&steps(), |steps| {
        let mut run = Run::new();
        steps.iter().try_for_each(|step| run.step(step))?;
        run.settle()
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}
