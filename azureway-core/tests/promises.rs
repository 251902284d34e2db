//! What must always hold, checked after every event of drawn runs.

mod support;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azureway_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestCaseError, TestRng, TestRunner};
use support::{Bench, fleet};

/// The seed of the drawn runs.
const SEED: [u8; 32] = *b"azureway promises, first seed   ";
/// The drawn runs.
const RUNS: u32 = 400;
/// The events of a run at most.
const STEPS: usize = 120;
/// The servers of the pool.
const SERVERS: usize = 3;
/// The slots of a server.
const SLOTS: u32 = 2;

/// What happens next in a drawn run. Numbers choose among what there is.
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
    Repeat(usize),
    HangUp(usize),
    Restart(usize),
    Leave(usize),
    Pass(u64),
    Configure(bool),
    Drain,
}

/// What the run knows of a request.
#[derive(Debug, Default)]
struct Record {
    once: bool,
    maybe_run: bool,
    ended: bool,
    tries: u32,
    position: u64,
}

/// A run and what it must never see.
struct Run {
    bench: Bench,
    records: BTreeMap<RequestId, Record>,
    open: Vec<Dispatch>,
    spent: Vec<Failure>,
    lives: [u64; SERVERS],
    leaving: BTreeSet<ServerId>,
    draining: bool,
}

const KINDS: [FailureKind; 6] = [
    FailureKind::Unreachable,
    FailureKind::Mismatch,
    FailureKind::Busy,
    FailureKind::Broken,
    FailureKind::Silent,
    FailureKind::Faulty,
];
const SENT: [SendState; 3] = [SendState::Unsent, SendState::Rejected, SendState::MaybeRun];

fn server(number: usize) -> ServerId {
    ServerId::new(&format!("engine-{}", number % SERVERS + 1))
}

impl Run {
    fn new() -> Self {
        Self {
            bench: Bench::new(SERVERS, SLOTS),
            records: BTreeMap::new(),
            open: Vec::new(),
            spent: Vec::new(),
            lives: [1; SERVERS],
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
            Step::Repeat(which) => self.repeat(which),
            Step::HangUp(which) => self.hang_up(which),
            Step::Restart(number) => self.report(number, true, false),
            Step::Leave(number) => self.report(number, false, true),
            Step::Pass(millis) => self.bench.pass(Duration::from_millis(millis)),
            Step::Configure(newer) => self.configure(newer),
            Step::Drain => {
                self.draining = true;
                self.bench.tell(Event::Draining)
            }
        };
        self.check(&actions)
    }

    fn arrive(&mut self, urgent: bool, once: bool, large: bool) -> Vec<Action> {
        let mut request = self
            .bench
            .request(if large { "large" } else { "small" }, &["house"]);
        request.rank = if urgent { Rank::Urgent } else { Rank::Drafting };
        request.kind = if once {
            RequestKind::AtMostOnce
        } else {
            RequestKind::Repeatable
        };
        self.records.insert(
            request.id,
            Record {
                once,
                ..Record::default()
            },
        );
        self.bench.tell(Event::Arrived(&request))
    }

    fn pick(&mut self, which: usize) -> Option<Dispatch> {
        let place = which.checked_rem(self.open.len())?;
        Some(self.open.remove(place))
    }

    fn finish(&mut self, which: usize) -> Vec<Action> {
        let Some(order) = self.pick(which) else {
            return Vec::new();
        };
        self.end(order.attempt.id);
        let (cached, output) = (TokenCount::ZERO, TokenCount::new(3));
        self.bench.tell(Event::Finished(&Finish {
            attempt: order.attempt,
            cached,
            output,
        }))
    }

    fn start(&mut self, which: usize) -> Vec<Action> {
        let Some(place) = which.checked_rem(self.open.len()) else {
            return Vec::new();
        };
        let attempt = self.open[place].attempt;
        self.bench.tell(Event::Started(attempt))
    }

    fn fail(&mut self, which: usize, kind: usize, sent: usize, gained: u64) -> Vec<Action> {
        let Some(order) = self.pick(which) else {
            return Vec::new();
        };
        let sent = SENT[sent % SENT.len()];
        let record = self.records.entry(order.attempt.id).or_default();
        record.maybe_run |= sent == SendState::MaybeRun;
        // Only a server that ran the request can have passed events on.
        record.position += if sent == SendState::MaybeRun {
            gained
        } else {
            0
        };
        let position = StreamPosition::new(record.position);
        let kind = KINDS[kind % KINDS.len()];
        let failure = Failure {
            attempt: order.attempt,
            kind,
            sent,
            position,
        };
        self.spent.push(failure);
        self.bench.tell(Event::Failed(&failure))
    }

    /// Tells news that was told before: nothing may come of it.
    fn repeat(&mut self, which: usize) -> Vec<Action> {
        let Some(place) = which.checked_rem(self.spent.len()) else {
            return Vec::new();
        };
        let failure = self.spent[place];
        self.bench.tell(Event::Failed(&failure))
    }

    fn hang_up(&mut self, which: usize) -> Vec<Action> {
        let live: Vec<_> = self
            .records
            .iter()
            .filter(|(_, r)| !r.ended)
            .map(|(i, _)| *i)
            .collect();
        let Some(place) = which.checked_rem(live.len()) else {
            return Vec::new();
        };
        self.end(live[place]);
        self.open.retain(|o| o.attempt.id != live[place]);
        self.bench.tell(Event::CallerDisconnected(live[place]))
    }

    fn report(&mut self, number: usize, restart: bool, leaving: bool) -> Vec<Action> {
        let number = number % SERVERS;
        self.lives[number] += u64::from(restart);
        let id = server(number);
        if leaving {
            self.leaving.insert(id.clone());
        }
        let report = LoadReport {
            leaving: self.leaving.contains(&id),
            server: id,
            incarnation: Incarnation::new(self.lives[number]),
            weights: WeightsVersion::new(1),
            running: 0,
            queued: 0,
            pending: TokenCount::ZERO,
        };
        self.bench.tell(Event::Load(&report))
    }

    fn configure(&mut self, newer: bool) -> Vec<Action> {
        let version = self.bench.router.fleet().version.get();
        let next = if newer {
            version + 1
        } else {
            version.saturating_sub(1)
        };
        let fleet = fleet(SERVERS, SLOTS).with_version(ConfigVersion::new(next));
        let actions = self.bench.tell(Event::Configured(&fleet));
        assert!(
            self.bench.router.fleet().version.get() >= version,
            "the version went back"
        );
        actions
    }

    fn end(&mut self, id: RequestId) {
        self.records.entry(id).or_default().ended = true;
    }

    fn check(&mut self, actions: &[Action]) -> Result<(), TestCaseError> {
        for action in actions {
            match action {
                Action::Dispatch(order) => self.check_order(order)?,
                Action::Refuse(id, refusal) => self.check_refusal(*id, refusal)?,
                _ => {}
            }
        }
        for state in self.bench.router.servers().iter() {
            let open = self
                .open
                .iter()
                .filter(|o| o.server == state.server.id)
                .count();
            prop_assert_eq!(state.in_flight() as usize, open, "flights are counted");
            prop_assert!(open <= SLOTS as usize, "no more work than slots");
        }
        Ok(())
    }

    fn check_order(&mut self, order: &Dispatch) -> Result<(), TestCaseError> {
        let record = self.records.entry(order.attempt.id).or_default();
        prop_assert!(!record.ended, "an ended request is not sent");
        prop_assert!(
            !(record.once && record.maybe_run),
            "what may have run is not sent again"
        );
        prop_assert_eq!(order.attempt.number, record.tries + 1, "tries are numbered");
        prop_assert_eq!(
            order.position.get(),
            record.position,
            "a stream resumes where it stopped"
        );
        prop_assert!(
            !self.leaving.contains(&order.server),
            "a leaving server gets no new work"
        );
        let running = self.open.iter().any(|o| o.attempt.id == order.attempt.id);
        prop_assert!(!running, "a request has one try at a time");
        record.tries += 1;
        self.open.push(order.clone());
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
        let running = self.open.iter().any(|o| o.attempt.id == id);
        prop_assert!(!running, "a request in flight is not refused");
        Ok(())
    }

    /// Lets everything end: what runs finishes and what waits meets its deadline.
    fn settle(&mut self) -> Result<(), TestCaseError> {
        while !self.open.is_empty() {
            self.step(&Step::Finish(0))?;
        }
        self.step(&Step::Drain)?;
        for _ in 0..20 {
            self.step(&Step::Pass(10_001))?;
            while !self.open.is_empty() {
                self.step(&Step::Finish(0))?;
            }
        }
        prop_assert_eq!(self.bench.router.active(), 0, "nothing is left");
        prop_assert!(
            self.records.values().all(|r| r.ended),
            "every request has an end"
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
        1 => which().prop_map(Step::Repeat),
        1 => which().prop_map(Step::HangUp),
        1 => which().prop_map(Step::Restart),
        1 => which().prop_map(Step::Leave),
        3 => (0..3_000u64).prop_map(Step::Pass),
        1 => any::<bool>().prop_map(Step::Configure),
    ];
    prop::collection::vec(step, 1..STEPS)
}

#[test]
fn the_promises_hold_after_every_event() {
    let config = Config {
        cases: RUNS,
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
