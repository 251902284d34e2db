//! Drawn runs of several entries in front of servers that ask for pauses, crash and restart.

mod support;

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;
use support::{RouterFixture, dispatches, failure};

/// The number of drawn runs.
const RUNS: u64 = 60;
const ENTRIES: u32 = 3;
const SERVERS: usize = 3;
const SLOTS: u32 = 8;
const STEP: Duration = Duration::from_millis(40);
/// The time for which requests come.
const TRAFFIC: Duration = Duration::from_secs(12);
/// The time in which all of them must have ended.
const SETTLING: Duration = Duration::from_secs(25);
/// The time after an answer in which anything may still be on its way.
const ON_THE_WAY: Duration = Duration::from_millis(500);
/// The requests that may reach a server from an entry during a pause.
const ALLOWED: u32 = 2;
/// The seconds that servers name.
const PAUSES: [f64; 6] = [0.0, 0.2, 0.9, 2.5, 6.0, f64::NAN];

/// A small generator of numbers, the same for each seed.
struct Draw(u64);

impl Draw {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 16) % bound
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    fn millis(&mut self, bound: u64) -> Duration {
        Duration::from_millis(self.below(bound))
    }
}

/// A pause that a server has asked an entry for.
struct Window {
    entry: usize,
    server: usize,
    incarnation: u64,
    answered: Timestamp,
    end: Timestamp,
    arrivals: u32,
}

/// What becomes of an attempt when its time comes.
enum Due {
    Arrival,
    Rejection(Option<Pause>),
    Mismatch,
    Break,
    Finish,
}

struct Pending {
    at: Timestamp,
    entry: usize,
    dispatch: Dispatch,
    due: Due,
}

struct Run {
    draw: Draw,
    entries: Vec<RouterFixture>,
    incarnations: [u64; SERVERS],
    shedding: [bool; SERVERS],
    pending: Vec<Pending>,
    windows: Vec<Window>,
    arrived: usize,
    finished: usize,
}

impl Run {
    fn new(seed: u64) -> Self {
        let fixtures = (0..ENTRIES).map(|entry| {
            let mut fixture = RouterFixture::with_seed(SERVERS, SLOTS, u64::from(entry));
            fixture.handle(Event::ZoneEntries(ENTRIES));
            fixture
        });
        Self {
            draw: Draw(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) | 1),
            entries: fixtures.collect(),
            incarnations: [1; SERVERS],
            shedding: [false; SERVERS],
            pending: Vec::new(),
            windows: Vec::new(),
            arrived: 0,
            finished: 0,
        }
    }

    fn active(&self) -> usize {
        self.entries.iter().map(|e| e.router.active()).sum()
    }

    fn now(&self) -> Timestamp {
        self.entries[0].now
    }

    fn step(&mut self, traffic: bool) {
        for entry in 0..self.entries.len() {
            let actions = self.entries[entry].advance(STEP);
            self.send(entry, &actions);
        }
        for server in 0..SERVERS {
            self.disturb(server, traffic);
        }
        for entry in 0..self.entries.len() {
            if traffic && self.draw.chance(50) {
                self.arrived += 1;
                let request = self.entries[entry].request("small", &["house", "shop", "body"]);
                let actions = self.entries[entry].handle(Event::Arrived(&request));
                self.send(entry, &actions);
            }
        }
        self.settle_due();
    }

    /// Lets a server begin or end to shed, restart, or report.
    fn disturb(&mut self, server: usize, traffic: bool) {
        if self.draw.chance(2) {
            self.shedding[server] = traffic && !self.shedding[server];
        }
        if self.draw.below(200) == 0 {
            self.incarnations[server] += 1;
        }
        if !traffic {
            self.shedding[server] = false;
        }
        for entry in 0..self.entries.len() {
            if self.draw.chance(10) {
                let report = LoadReport {
                    pace: None,
                    server: server_id(server),
                    incarnation: Incarnation::new(self.incarnations[server]),
                    weights: WeightsVersion::new(1),
                    running: 0,
                    queued: 0,
                    pending: TokenCount::ZERO,
                    leaving: false,
                };
                let actions = self.entries[entry].handle(Event::Load(&report));
                self.send(entry, &actions);
            }
        }
    }

    fn send(&mut self, entry: usize, actions: &[Action]) {
        for dispatch in dispatches(actions) {
            let at = self.now() + self.draw.millis(120);
            let dispatch = dispatch.clone();
            self.push(at, entry, dispatch, Due::Arrival);
        }
    }

    fn push(&mut self, at: Timestamp, entry: usize, dispatch: Dispatch, due: Due) {
        self.pending.push(Pending {
            at,
            entry,
            dispatch,
            due,
        });
    }

    fn settle_due(&mut self) {
        let now = self.now();
        while let Some(index) = self.pending.iter().position(|p| p.at <= now) {
            let Pending {
                entry,
                dispatch,
                due,
                ..
            } = self.pending.swap_remove(index);
            match due {
                Due::Arrival => self.arrive(entry, dispatch),
                Due::Rejection(pause) => self.reject(entry, &dispatch, pause),
                Due::Mismatch => {
                    let (kind, sent) = (FailureKind::Mismatch, SendState::Rejected);
                    self.fail(entry, &dispatch, kind, sent, 0);
                }
                Due::Break => {
                    let gained = self.draw.below(3);
                    let (kind, sent) = (FailureKind::Broken, SendState::MaybeRun);
                    self.fail(entry, &dispatch, kind, sent, gained);
                }
                Due::Finish => self.finish(entry, &dispatch),
            }
        }
    }

    fn arrive(&mut self, entry: usize, dispatch: Dispatch) {
        let (now, server) = (self.now(), server_index(&dispatch.server));
        let incarnation = self.incarnations[server];
        let same =
            |w: &&mut Window| (w.entry, w.server, w.incarnation) == (entry, server, incarnation);
        for window in self.windows.iter_mut().filter(same) {
            if now > window.answered + ON_THE_WAY && now < window.end {
                window.arrivals += 1;
                assert!(window.arrivals <= ALLOWED, "entry {entry}, server {server}");
            }
        }
        let later = now + self.draw.millis(40);
        if dispatch.incarnation.is_some_and(|i| i.get() != incarnation) {
            return self.push(later, entry, dispatch, Due::Mismatch);
        }
        if self.shedding[server] {
            let pause = Pause::from_seconds(PAUSES[self.draw.below(6) as usize]);
            let end = pause.map_or(now, |p| now + p.duration());
            self.windows.push(Window {
                entry,
                server,
                incarnation,
                answered: now,
                end,
                arrivals: 0,
            });
            self.push(later, entry, dispatch, Due::Rejection(pause));
        } else if self.draw.chance(4) {
            self.push(later, entry, dispatch, Due::Break);
        } else {
            let end = now + self.draw.millis(400);
            self.push(end, entry, dispatch, Due::Finish);
        }
    }

    fn reject(&mut self, entry: usize, dispatch: &Dispatch, pause: Option<Pause>) {
        if let Some(pause) = pause {
            let notice = PauseNotice {
                server: dispatch.server.clone(),
                incarnation: dispatch.incarnation,
                pause,
            };
            let actions = self.entries[entry].handle(Event::Paused(&notice));
            self.send(entry, &actions);
        }
        let (kind, sent) = (FailureKind::Busy, SendState::Rejected);
        self.fail(entry, dispatch, kind, sent, 0);
    }

    /// Reports a failure after `gained` more events of the stream.
    fn fail(
        &mut self,
        entry: usize,
        dispatch: &Dispatch,
        kind: FailureKind,
        sent: SendState,
        gained: u64,
    ) {
        let position = dispatch.position.get() + gained;
        let failure = failure(dispatch, kind, sent, position);
        let actions = self.entries[entry].handle(Event::Failed(&failure));
        self.send(entry, &actions);
    }

    fn finish(&mut self, entry: usize, dispatch: &Dispatch) {
        let finish = Finish {
            attempt: dispatch.attempt,
            cached: TokenCount::ZERO,
            output: TokenCount::new(1),
        };
        self.finished += 1;
        let actions = self.entries[entry].handle(Event::Finished(&finish));
        self.send(entry, &actions);
    }
}

fn server_id(server: usize) -> ServerId {
    ServerId::new(&format!("engine-{}", server + 1))
}

fn server_index(id: &ServerId) -> usize {
    let index = (0..SERVERS).find(|s| server_id(*s) == *id);
    index.expect("a server")
}

/// Guards against any way by which more than two requests of an entry reach a server between half a
/// second after it asked for a pause and the end of it, and against requests that never end.
#[gtest]
fn no_more_than_two_requests_reach_a_server_during_its_pause() {
    let (mut pauses, mut arrived, mut finished) = (0, 0, 0);
    for seed in 1..=RUNS {
        let mut run = Run::new(seed);
        let start = run.now();
        while run.now() < start + TRAFFIC {
            run.step(true);
        }
        while run.active() > 0 && run.now() < start + TRAFFIC + SETTLING {
            run.step(false);
        }
        expect_that!(run.active(), eq(0), "seed {seed}");
        finished += run.finished;
        arrived += run.arrived;
        let kept = |w: &&Window| w.end > w.answered + ON_THE_WAY;
        pauses += run.windows.iter().filter(kept).count();
    }
    expect_that!(pauses, ge(1_000), "the runs bring pauses about");
    expect_that!(finished * 2, ge(arrived), "{finished} of {arrived}");
}
