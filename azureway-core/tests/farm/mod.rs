//! Some entries before the same engines, one of which crashes when a poison runs on it.
#![expect(unreachable_pub, reason = "a test's module has no outside")]

#[path = "../support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::prelude::*;
use support::{RouterFixture, failure, fleet};

/// A try that runs: at which entry, of which body.
type Try = (usize, String, Dispatch);

/// Some entries before the same engines.
pub struct Farm {
    pub crashes: usize,
    pub finished: usize,
    pub refused: Vec<Refusal>,
    entries: Vec<RouterFixture>,
    bodies: BTreeMap<(usize, RequestId), String>,
    running: Vec<Try>,
    lives: BTreeMap<ServerId, u64>,
    news: Vec<(usize, Strike)>,
}

impl Farm {
    /// Creates `entries` entries before `servers` engines.
    pub fn new(entries: usize, servers: usize) -> Self {
        let lives = (1..=servers).map(|n| (ServerId::new(&format!("engine-{n}")), 1));
        let mut farm = Self {
            crashes: 0,
            finished: 0,
            refused: Vec::new(),
            entries: (0..entries)
                .map(|_| RouterFixture::new(servers, 32))
                .collect(),
            bodies: BTreeMap::new(),
            running: Vec::new(),
            lives: lives.collect(),
            news: Vec::new(),
        };
        farm.report_all();
        farm
    }

    /// Sends a request with a body through an entry.
    pub fn send(&mut self, entry: usize, body: &str) {
        let mut request = self.entries[entry].request("small", &["house", "shop", body]);
        request.deadline = Deadline::new(self.entries[entry].now + Duration::from_secs(120));
        self.bodies.insert((entry, request.id), body.to_owned());
        self.handle(entry, Event::Arrived(&request));
    }

    /// Lets the server of every try with a body crash, again and again until none runs.
    pub fn crash_all(&mut self, body: &str) {
        while self.crash_one(body) {}
    }

    /// Lets the server of a try with a body crash, if there is one.
    pub fn crash_one(&mut self, body: &str) -> bool {
        let found = self.running.iter().find(|t| t.1 == body);
        let Some(server) = found.map(|t| t.2.server.clone()) else {
            return false;
        };
        self.crash(&server);
        true
    }

    /// Returns the tries of a body that run.
    pub fn copies(&self, body: &str) -> usize {
        self.running.iter().filter(|t| t.1 == body).count()
    }

    /// Lets the server with most tries crash.
    pub fn crash_busiest(&mut self) {
        let load = |s: &&ServerId| self.running.iter().filter(|t| t.2.server == **s).count();
        let server = self.lives.keys().max_by_key(load).cloned();
        self.crash(&server.expect("a server"));
    }

    /// Breaks the connection of every try with a body, once.
    pub fn break_links(&mut self, body: &str) {
        self.fail(|t| t.1 == body, FailureKind::Broken, 0);
    }

    /// Breaks the connection of every try with a body after a position.
    pub fn break_streams(&mut self, body: &str, position: u64) {
        self.fail(|t| t.1 == body, FailureKind::Broken, position);
    }

    /// Lets the connection of every try with a body go silent, once.
    pub fn silence(&mut self, body: &str) {
        self.fail(|t| t.1 == body, FailureKind::Silent, 0);
    }

    /// Lets every try of an innocent end well.
    pub fn finish_all(&mut self) {
        let innocent = |t: &Try| t.1.starts_with("innocent");
        let (done, kept) = std::mem::take(&mut self.running)
            .into_iter()
            .partition::<Vec<_>, _>(innocent);
        self.running = kept;
        for done in &done {
            self.finish(done);
        }
    }

    /// Lets the oldest try end well.
    pub fn finish_one(&mut self) {
        if !self.running.is_empty() {
            let done = self.running.remove(0);
            self.finish(&done);
        }
    }

    /// Lets every entry hear of every server.
    pub fn report_all(&mut self) {
        for (server, life) in self.lives.clone() {
            let report = LoadReport {
                server,
                incarnation: Incarnation::new(life),
                weights: WeightsVersion::new(1),
                running: 0,
                queued: 0,
                pending: TokenCount::ZERO,
                leaving: false,
            };
            (0..self.entries.len()).for_each(|e| self.handle(e, Event::Load(&report)));
        }
    }

    /// Lets every entry read the platform's list, which tells of every server's life.
    pub fn list_all(&mut self) {
        for entry in 0..self.entries.len() {
            let version = self.entries[entry].router.fleet().version.next();
            let mut fleet = fleet(self.lives.len(), 32).with_version(version);
            for server in fleet.servers.values_mut() {
                server.listed = Some(ListedState {
                    incarnation: Incarnation::new(self.lives[&server.id]),
                    weights: None,
                });
            }
            self.handle(entry, Event::Configured(&fleet));
        }
    }

    /// Lets every entry hear of every strike.
    pub fn share(&mut self) {
        while let Some((from, strike)) = self.news.pop() {
            let others = (0..self.entries.len()).filter(|e| *e != from);
            others
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|e| self.handle(e, Event::Strike(&strike)));
        }
    }

    /// Lets time pass.
    pub fn advance(&mut self, time: Duration) {
        for entry in 0..self.entries.len() {
            self.entries[entry].now = self.entries[entry].now + time;
            self.handle(entry, Event::Tick);
        }
    }

    /// Returns how a body stands at an entry.
    pub fn standing(&self, entry: usize, body: &str) -> SuspectStatus {
        let text = ["house", "shop", body].concat();
        let print = Fingerprint::of("small", "advice", text.as_bytes());
        let fixture = &self.entries[entry];
        fixture.router.suspect_status(&print, fixture.now)
    }

    /// Tells whether two suspects of an entry run on one server.
    pub fn suspects_share_a_server(&self) -> bool {
        let suspect =
            |t: &&Try| t.2.attempt.number > 1 && self.standing(t.0, &t.1) == SuspectStatus::Suspect;
        let mut places: Vec<_> = self
            .running
            .iter()
            .filter(suspect)
            .map(|t| (t.0, &t.2.server))
            .collect();
        let all = places.len();
        places.sort_unstable();
        places.dedup();
        places.len() < all
    }

    fn crash(&mut self, server: &ServerId) {
        self.crashes += 1;
        *self.lives.get_mut(server).expect("a server") += 1;
        self.fail(|t| t.2.server == *server, FailureKind::Broken, 0);
    }

    fn fail(&mut self, hit: impl Fn(&Try) -> bool, kind: FailureKind, position: u64) {
        let (hit, kept): (Vec<Try>, Vec<Try>) =
            std::mem::take(&mut self.running).into_iter().partition(hit);
        self.running = kept;
        for (entry, _, dispatch) in hit {
            let failure = failure(&dispatch, kind, SendState::MaybeRun, position);
            self.handle(entry, Event::Failed(&failure));
        }
    }

    fn finish(&mut self, (entry, _, dispatch): &Try) {
        self.finished += 1;
        let finish = Finish {
            attempt: dispatch.attempt,
            cached: TokenCount::ZERO,
            output: TokenCount::new(1),
        };
        self.handle(*entry, Event::Finished(&finish));
    }

    fn handle(&mut self, entry: usize, event: Event<'_>) {
        for action in self.entries[entry].handle(event) {
            match action {
                Action::Dispatch(dispatch) => {
                    let body = self.bodies[&(entry, dispatch.attempt.id)].clone();
                    self.running.push((entry, body, dispatch));
                }
                Action::Refuse(_, refusal) => self.refused.push(refusal),
                Action::Cancel(attempt) => {
                    self.running
                        .retain(|t| (t.0, t.2.attempt) != (entry, attempt));
                }
                Action::BroadcastStrike(strike) => self.news.push((entry, strike)),
                _ => {}
            }
        }
    }
}
