//! An in-memory simulation of entries, a platform and a backend server, with injected faults.
#![expect(unreachable_pub, reason = "a test's module has no outside")]

use std::collections::{BTreeMap, VecDeque};

use azureway_core::prelude::*;

use crate::support::{RouterFixture, fleet};

/// The result of a request, as its caller sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerResult {
    /// No result, or none yet.
    None,
    /// The answer of the backend server.
    Answer,
    /// The stored answer of an earlier request with the same key.
    ReplayedAnswer,
    /// The caller disconnected before it got a result.
    Disconnected,
    /// A refusal.
    Refused(Refusal),
}

/// A request that a caller sent through an entry.
pub struct CallerRequest {
    pub entry: usize,
    pub key: String,
    pub result: CallerResult,
    pub ran: bool,
}

/// An entry with its pending platform calls and its attempts at the backend server.
struct Entry {
    fixture: RouterFixture,
    calls: VecDeque<(ClaimOperation, ClaimCommand, ClaimStep)>,
    attempts: VecDeque<Attempt>,
    cut_off: bool,
    lose_answer: bool,
    delay_write: bool,
    crashed: bool,
}

/// The simulated entries, platform and backend server.
pub struct World {
    entries: Vec<Entry>,
    objects: BTreeMap<ClaimName, (u64, ClaimRecord)>,
    version: u64,
    delayed: Vec<(ClaimName, ClaimRecord)>,
    /// The number of calls to the platform.
    pub call_count: u32,
    pub requests: BTreeMap<RequestId, CallerRequest>,
}

impl World {
    /// Creates a simulation of two entries, each with one slot at the backend server.
    pub fn new() -> Self {
        let entry = |_| Entry {
            fixture: fixture(),
            calls: VecDeque::new(),
            attempts: VecDeque::new(),
            cut_off: false,
            lose_answer: false,
            delay_write: false,
            crashed: false,
        };
        Self {
            entries: (0..2).map(entry).collect(),
            objects: BTreeMap::new(),
            version: 0,
            delayed: Vec::new(),
            call_count: 0,
            requests: BTreeMap::new(),
        }
    }

    /// Sends a request with a key and a body through an entry.
    pub fn send(&mut self, at: usize, key: &str, body: &str) {
        if self.entries[at].crashed {
            return;
        }
        let sequence = self.requests.len() as u64 + 1;
        let mut request = self.entries[at].fixture.request("small", &[body]);
        request.id = RequestId::new(at as u64 + 1, sequence);
        request.kind = RequestKind::AtMostOnce;
        request.idempotency_key = Some(IdempotencyKey::new(key));
        let caller_request = CallerRequest {
            entry: at,
            key: key.to_owned(),
            result: CallerResult::None,
            ran: false,
        };
        self.requests.insert(request.id, caller_request);
        self.handle(at, Event::Arrived(&request));
    }

    /// Serves every pending platform call of an entry.
    pub fn serve_calls(&mut self, at: usize) {
        while self.serve_call(at) {}
    }

    /// Serves the next platform call of an entry. Returns whether there was one.
    pub fn serve_call(&mut self, at: usize) -> bool {
        let Some((mut operation, call, step)) = self.entries[at].calls.pop_front() else {
            return false;
        };
        let reply = self.serve_step(at, &call, &step);
        match operation.next(reply) {
            ClaimStep::Done(outcome) => self.handle(at, Event::Claim(&outcome)),
            next => self.entries[at].calls.push_front((operation, call, next)),
        }
        true
    }

    /// Applies the delayed writes.
    pub fn apply_delayed(&mut self) {
        for (name, record) in std::mem::take(&mut self.delayed) {
            self.write(name, 0, record);
        }
    }

    /// Ends the oldest attempt of an entry: with success, or with a failure in the given state.
    pub fn end_attempt(&mut self, at: usize, sent: Option<SendState>) {
        let Some(attempt) = self.entries[at].attempts.pop_front() else {
            return;
        };
        let request = self.requests.get_mut(&attempt.id).expect("a request");
        request.ran |= sent.is_none_or(|s| !s.is_not_run());
        let Some(sent) = sent else {
            if request.result == CallerResult::None {
                request.result = CallerResult::Answer;
            }
            let finish = Finish {
                attempt,
                cached: TokenCount::ZERO,
                output: TokenCount::ZERO,
            };
            return self.handle(at, Event::Finished(&finish));
        };
        let kind = if sent == SendState::Unsent {
            FailureKind::Unreachable
        } else {
            FailureKind::Silent
        };
        let failure = Failure {
            attempt,
            kind,
            sent,
            position: StreamPosition::ZERO,
        };
        self.handle(at, Event::Failed(&failure));
    }

    /// Disconnects the caller of an entry's last request.
    pub fn disconnect_caller(&mut self, at: usize) {
        let last = self.requests.iter().rev().find(|(_, r)| r.entry == at);
        if let Some(id) = last.map(|(id, _)| *id) {
            let request = self.requests.get_mut(&id).expect("a request");
            if request.result == CallerResult::None {
                request.result = CallerResult::Disconnected;
            }
            self.handle(at, Event::CallerDisconnected(id));
        }
    }

    /// Crashes an entry. The backend server completes the attempts that it was sent.
    pub fn crash(&mut self, at: usize) {
        for attempt in &self.entries[at].attempts {
            let request = self.requests.get_mut(&attempt.id).expect("a request");
            request.ran = true;
        }
        self.entries[at].crashed = true;
        self.entries[at].calls.clear();
        self.entries[at].attempts.clear();
    }

    /// Sets whether an entry is cut off from the platform.
    pub fn set_cut_off(&mut self, at: usize, cut_off: bool) {
        self.entries[at].cut_off = cut_off;
    }

    /// Loses the next platform answer to an entry. A write takes effect nevertheless.
    pub fn lose_answer(&mut self, at: usize) {
        self.entries[at].lose_answer = true;
    }

    /// Delays the next claim creation of an entry until [`World::apply_delayed`].
    pub fn delay_write(&mut self, at: usize) {
        self.entries[at].delay_write = true;
    }

    /// Advances the time of every entry.
    pub fn advance(&mut self, millis: u64) {
        for at in 0..self.entries.len() {
            let fixture = &mut self.entries[at].fixture;
            fixture.now = fixture.now + std::time::Duration::from_millis(millis);
            self.handle(at, Event::Tick);
        }
    }

    /// Returns the number of requests with a key that ran.
    pub fn count_runs(&self, key: &str) -> usize {
        let ran = self.requests.values().filter(|r| r.key == key && r.ran);
        ran.count()
    }

    fn handle(&mut self, at: usize, event: Event<'_>) {
        if self.entries[at].crashed {
            return;
        }
        for action in self.entries[at].fixture.handle(event) {
            self.perform(at, action);
        }
    }

    fn perform(&mut self, at: usize, action: Action) {
        let entry = &mut self.entries[at];
        match action {
            Action::Claim(call) => {
                let operation = ClaimOperation::new(&call);
                let step = operation.first();
                entry.calls.push_back((operation, call, step));
            }
            Action::Dispatch(dispatch) => entry.attempts.push_back(dispatch.attempt),
            Action::Refuse(id, refusal) => self.set_result(id, CallerResult::Refused(refusal)),
            Action::ReplayAnswer(id, _) => self.set_result(id, CallerResult::ReplayedAnswer),
            _ => {}
        }
    }

    fn set_result(&mut self, id: RequestId, result: CallerResult) {
        let request = self.requests.get_mut(&id).expect("a request");
        assert_eq!(
            request.result,
            CallerResult::None,
            "a second result: {result:?}"
        );
        request.result = result;
    }

    fn serve_step(&mut self, at: usize, call: &ClaimCommand, step: &ClaimStep) -> ClaimReply {
        self.call_count += 1;
        let (name, record) = write_of(call);
        let entry = &mut self.entries[at];
        let (delay_write, lose_answer) = (entry.delay_write, entry.lose_answer);
        if delay_write && *step == ClaimStep::Write(0) {
            entry.delay_write = false;
            self.delayed.push((name, record));
            return ClaimReply::Lost;
        }
        if entry.cut_off {
            return ClaimReply::Lost;
        }
        entry.lose_answer = false;
        let reply = match step {
            ClaimStep::Write(expected) => self.write(name, *expected, record),
            ClaimStep::Delete(expected) => self.delete(name, *expected),
            _ => match self.objects.get(&name) {
                Some((version, record)) => ClaimReply::Found(*version, record.clone()),
                None => ClaimReply::Absent,
            },
        };
        if lose_answer { ClaimReply::Lost } else { reply }
    }

    fn write(&mut self, name: ClaimName, expected: u64, record: ClaimRecord) -> ClaimReply {
        if self.objects.get(&name).map_or(0, |(v, _)| *v) != expected {
            return ClaimReply::Conflict;
        }
        self.version += 1;
        self.objects.insert(name, (self.version, record));
        ClaimReply::Written(self.version)
    }

    fn delete(&mut self, name: ClaimName, expected: u64) -> ClaimReply {
        if self.objects.get(&name).map_or(0, |(v, _)| *v) != expected {
            return ClaimReply::Conflict;
        }
        self.objects.remove(&name);
        ClaimReply::Written(expected)
    }
}

/// Creates a router for a service of kind [`ServiceKind::Plain`].
fn fixture() -> RouterFixture {
    let mut fixture = RouterFixture::new(1, 1);
    let (id, pool) = (ServiceId::new("advice"), PoolId::new("engines"));
    let service = ModelService::new(id, pool).with_kind(ServiceKind::Plain);
    let fleet = fleet(1, 1).with_service(service);
    fixture.handle(Event::Configured(
        &fleet.with_version(ConfigVersion::new(2)),
    ));
    fixture
}

fn write_of(call: &ClaimCommand) -> (ClaimName, ClaimRecord) {
    let answer = ShortAnswer::new(200, "text/plain", b"done");
    match call {
        ClaimCommand::Create(request) => (request.name, request.record()),
        ClaimCommand::Finish(t) | ClaimCommand::Release(t) => (t.name, t.finished(answer)),
    }
}
