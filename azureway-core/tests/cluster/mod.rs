//! An in-memory simulation of several entries in front of the same backend servers, which the test
//! crashes on demand.
#![expect(
    unreachable_pub,
    reason = "test helpers are used only within their test crate"
)]
#![allow(dead_code, reason = "each test uses only some of the helpers")]

#[path = "../support/mod.rs"]
mod support;

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::prelude::*;
use support::{RouterFixture, failure, fleet};

/// An attempt in flight: the index of its entry, the body of its request and its dispatch.
type RunningAttempt = (usize, String, Dispatch);

/// The incarnation of every server in the platform's list, and the time until which the list is complete.
pub type Listing = (BTreeMap<ServerId, u64>, Timestamp);

/// Several entries that share the same backend servers.
pub struct Cluster {
    pub crashes: usize,
    pub finished: usize,
    /// The number of attempts that were cancelled after their servers had begun to answer.
    pub cut: usize,
    pub refused: Vec<Refusal>,
    entries: Vec<RouterFixture>,
    bodies: BTreeMap<(usize, RequestId), String>,
    running: Vec<RunningAttempt>,
    /// The attempts whose servers have sent the head of an answer.
    answered: Vec<(usize, Attempt)>,
    incarnations: BTreeMap<ServerId, u64>,
    crash_reports: Vec<(usize, CrashReport)>,
    stored: BTreeMap<PartKey, QuarantineRecord>,
}

impl Cluster {
    /// Creates `entries` entries in front of `servers` backend servers.
    pub fn new(entries: usize, servers: usize) -> Self {
        let incarnations = (1..=servers).map(|n| (ServerId::new(&format!("engine-{n}")), 1));
        let mut cluster = Self {
            crashes: 0,
            finished: 0,
            cut: 0,
            refused: Vec::new(),
            entries: (0..entries)
                .map(|_| RouterFixture::new(servers, 32))
                .collect(),
            bodies: BTreeMap::new(),
            running: Vec::new(),
            answered: Vec::new(),
            incarnations: incarnations.collect(),
            crash_reports: Vec::new(),
            stored: BTreeMap::new(),
        };
        cluster.report_all();
        cluster
    }

    /// Sends a request with the given body through an entry.
    pub fn send(&mut self, entry: usize, body: &str) {
        self.send_prompt(entry, "shop", body);
    }

    /// Sends a request whose prompt consists of a part that all requests share, the given part and
    /// the given body, through an entry.
    pub fn send_prompt(&mut self, entry: usize, part: &str, body: &str) {
        let mut request = self.entries[entry].request("small", &["house", part, body]);
        request.deadline = Deadline::new(self.entries[entry].now + Duration::from_secs(120));
        self.bodies.insert((entry, request.id), body.to_owned());
        self.handle(entry, Event::Arrived(&request));
    }

    /// Crashes the servers that run a body, including those that run its retries, until no attempt
    /// of it is in flight.
    pub fn crash_all(&mut self, body: &str) {
        while self.crash_one(body) {}
    }

    /// Crashes a server that runs a body. Returns whether there was one.
    pub fn crash_one(&mut self, body: &str) -> bool {
        let found = self.running.iter().find(|a| a.1 == body);
        let Some(server) = found.map(|a| a.2.server.clone()) else {
            return false;
        };
        self.crash(&server);
        true
    }

    /// Crashes every server that runs a body that begins with `prefix`.
    pub fn crash_all_with(&mut self, prefix: &str) {
        while let Some(a) = self.running.iter().find(|a| a.1.starts_with(prefix)) {
            let server = a.2.server.clone();
            self.crash(&server);
        }
    }

    /// Lets the server of every attempt of a body that is in flight send the head of its answer.
    pub fn send_heads(&mut self, body: &str) {
        let attempts = self.running.iter().filter(|a| a.1 == body);
        self.answered.extend(attempts.map(|a| (a.0, a.2.attempt)));
    }

    /// Returns the number of attempts of a body that are in flight.
    pub fn count_running(&self, body: &str) -> usize {
        self.running.iter().filter(|a| a.1 == body).count()
    }

    /// Crashes the server with the most attempts in flight.
    pub fn crash_busiest(&mut self) {
        let in_flight = |s: &&ServerId| self.running.iter().filter(|a| a.2.server == **s).count();
        let server = self.incarnations.keys().max_by_key(in_flight).cloned();
        self.crash(&server.expect("a server"));
    }

    /// Breaks the connection of every attempt of a body that is in flight.
    pub fn break_connections(&mut self, body: &str) {
        self.fail(|a| a.1 == body, FailureKind::Broken, 0);
    }

    /// Breaks the connection of every attempt of a body that is in flight, at a stream position.
    pub fn break_streams(&mut self, body: &str, position: u64) {
        self.fail(|a| a.1 == body, FailureKind::Broken, position);
    }

    /// Lets every attempt of a body that is in flight fail because its server is silent.
    pub fn silence_connections(&mut self, body: &str) {
        self.fail(|a| a.1 == body, FailureKind::Silent, 0);
    }

    /// Finishes every attempt of a healthy request that is in flight.
    pub fn finish_healthy(&mut self) {
        let healthy = |a: &RunningAttempt| a.1.starts_with("innocent");
        let (done, kept) = std::mem::take(&mut self.running)
            .into_iter()
            .partition::<Vec<_>, _>(healthy);
        self.running = kept;
        for done in &done {
            self.finish(done);
        }
    }

    /// Finishes the oldest attempt in flight.
    pub fn finish_one(&mut self) {
        if !self.running.is_empty() {
            let done = self.running.remove(0);
            self.finish(&done);
        }
    }

    /// Delivers a load report of every server to every entry.
    pub fn report_all(&mut self) {
        for (server, incarnation) in self.incarnations.clone() {
            let report = LoadReport {
                pace: None,
                server,
                incarnation: Incarnation::new(incarnation),
                weights: WeightsVersion::new(1),
                running: 0,
                queued: 0,
                pending: TokenCount::ZERO,
                leaving: false,
            };
            (0..self.entries.len()).for_each(|e| self.handle(e, Event::Load(&report)));
        }
    }

    /// Returns the platform's list, which gives the incarnation of every server.
    pub fn listing(&self) -> Listing {
        (self.incarnations.clone(), self.entries[0].now)
    }

    /// Delivers the platform's list to every entry.
    pub fn list_all(&mut self) {
        let listing = self.listing();
        (0..self.entries.len()).for_each(|e| self.list_to(e, &listing));
    }

    /// Delivers a list of the platform, which may be an older one, to an entry.
    pub fn list_to(&mut self, entry: usize, (incarnations, until): &Listing) {
        let version = self.entries[entry].router.fleet().version.next();
        let mut fleet = fleet(incarnations.len(), 32).with_version(version);
        fleet.listed_until = *until;
        for server in fleet.servers.values_mut() {
            server.listed = Some(ListedState {
                incarnation: Incarnation::new(incarnations[&server.id]),
                weights: None,
            });
        }
        self.handle(entry, Event::Configured(&fleet));
    }

    /// Delivers every broadcast crash report to the other entries.
    pub fn share_crash_reports(&mut self) {
        while let Some((from, report)) = self.crash_reports.pop() {
            let others = (0..self.entries.len()).filter(|e| *e != from);
            others
                .collect::<Vec<_>>()
                .into_iter()
                .for_each(|e| self.handle(e, Event::CrashReport(&report)));
        }
    }

    /// Advances the time of every entry.
    pub fn advance(&mut self, time: Duration) {
        for entry in 0..self.entries.len() {
            self.entries[entry].now = self.entries[entry].now + time;
            self.handle(entry, Event::Tick);
        }
    }

    /// Returns the number of quarantined parts that the platform stores.
    pub fn count_stored(&self) -> usize {
        self.stored.len()
    }

    /// Restarts every entry. Each then reads from the platform what it stores.
    pub fn restart_all(&mut self) {
        self.running.clear();
        self.crash_reports.clear();
        for entry in 0..self.entries.len() {
            let now = self.entries[entry].now;
            self.entries[entry] = RouterFixture::new(self.incarnations.len(), 32);
            self.entries[entry].now = now;
        }
        self.list_all();
        let stored = self.stored.values().cloned();
        for change in stored.map(QuarantineChange::Stored).collect::<Vec<_>>() {
            let entries = 0..self.entries.len();
            entries.for_each(|e| self.handle(e, Event::QuarantineChanged(&change)));
        }
    }

    /// Restores the platform from a copy that is older than the stored parts, and tells the entries.
    pub fn lose_stored(&mut self) {
        self.stored.clear();
        let entries = 0..self.entries.len();
        entries.for_each(|e| self.handle(e, Event::QuarantinesLost));
    }

    /// Returns the suspect status of a body at an entry.
    pub fn status(&self, entry: usize, body: &str) -> SuspectStatus {
        let text = ["house", "shop", body].concat();
        let fingerprint = Fingerprint::of("small", "advice", text.as_bytes());
        let fixture = &self.entries[entry];
        fixture.router.suspect_status(&fingerprint, fixture.now)
    }

    /// Returns whether two suspects of one entry run on the same server.
    pub fn suspects_share_a_server(&self) -> bool {
        let suspect = |a: &&RunningAttempt| {
            a.2.attempt.number > 1 && self.status(a.0, &a.1) == SuspectStatus::Suspect
        };
        let mut locations: Vec<_> = self
            .running
            .iter()
            .filter(suspect)
            .map(|a| (a.0, &a.2.server))
            .collect();
        let all = locations.len();
        locations.sort_unstable();
        locations.dedup();
        locations.len() < all
    }

    fn crash(&mut self, server: &ServerId) {
        self.crashes += 1;
        *self.incarnations.get_mut(server).expect("a server") += 1;
        self.fail(|a| a.2.server == *server, FailureKind::Broken, 0);
    }

    fn fail(
        &mut self,
        selects: impl Fn(&RunningAttempt) -> bool,
        kind: FailureKind,
        position: u64,
    ) {
        let (failed, kept): (Vec<RunningAttempt>, Vec<RunningAttempt>) =
            std::mem::take(&mut self.running)
                .into_iter()
                .partition(selects);
        self.running = kept;
        for (entry, _, dispatch) in failed {
            let failure = failure(&dispatch, kind, SendState::MaybeRun, position);
            self.handle(entry, Event::Failed(&failure));
        }
    }

    fn finish(&mut self, (entry, _, dispatch): &RunningAttempt) {
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
                    self.cut += usize::from(self.answered.contains(&(entry, attempt)));
                    self.running
                        .retain(|a| (a.0, a.2.attempt) != (entry, attempt));
                }
                Action::Recall(recall) if !self.answered.contains(&(entry, recall.attempt)) => {
                    let recalled =
                        |a: &RunningAttempt| (a.0, a.2.attempt) == (entry, recall.attempt);
                    self.fail(recalled, FailureKind::Recalled, 0);
                }
                Action::BroadcastCrashReport(report) => self.crash_reports.push((entry, report)),
                Action::StoreQuarantine(QuarantineChange::Stored(record)) => {
                    self.stored.insert(record.part, record);
                }
                Action::StoreQuarantine(QuarantineChange::Removed(part)) => {
                    self.stored.remove(&part);
                }
                _ => {}
            }
        }
    }
}
