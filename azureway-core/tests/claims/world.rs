//! Entries, a platform and a backend server, all in memory, with faults on demand.
#![expect(unreachable_pub, reason = "a test's module has no outside")]

use std::collections::{BTreeMap, VecDeque};

use azureway_core::prelude::*;

use crate::support::{Bench, fleet};

/// What became of a sending.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fate {
    /// Nothing yet, or nothing any more.
    None,
    /// The server's answer.
    Answer,
    /// The kept answer of an earlier sending.
    Repeat,
    /// The caller hung up before.
    Left,
    /// A refusal.
    Refused(Refusal),
}

/// A sending of a request.
pub struct Sending {
    pub entry: usize,
    pub key: String,
    pub fate: Fate,
    pub ran: bool,
}

/// An entry with its calls to the platform and its tries at the server.
struct Entry {
    bench: Bench,
    calls: VecDeque<(ClaimOperation, ClaimCommand, ClaimStep)>,
    tries: VecDeque<Attempt>,
    cut: bool,
    lose: bool,
    late: bool,
    dead: bool,
}

/// Everything that a claim meets.
pub struct World {
    entries: Vec<Entry>,
    objects: BTreeMap<ClaimName, (u64, ClaimRecord)>,
    version: u64,
    late: Vec<(ClaimName, ClaimRecord)>,
    /// The calls to the platform.
    pub calls: u32,
    pub sendings: BTreeMap<RequestId, Sending>,
}

impl World {
    /// Creates a world of two entries, each with one slot at the server.
    pub fn new() -> Self {
        let entry = |_| Entry {
            bench: bench(),
            calls: VecDeque::new(),
            tries: VecDeque::new(),
            cut: false,
            lose: false,
            late: false,
            dead: false,
        };
        Self {
            entries: (0..2).map(entry).collect(),
            objects: BTreeMap::new(),
            version: 0,
            late: Vec::new(),
            calls: 0,
            sendings: BTreeMap::new(),
        }
    }

    /// Sends a key with a body through an entry.
    pub fn send(&mut self, at: usize, key: &str, body: &str) {
        if self.entries[at].dead {
            return;
        }
        let sequence = self.sendings.len() as u64 + 1;
        let mut request = self.entries[at].bench.request("small", &[body]);
        request.id = RequestId::new(at as u64 + 1, sequence);
        request.kind = RequestKind::AtMostOnce;
        request.idempotency_key = Some(IdempotencyKey::new(key));
        let sending = Sending {
            entry: at,
            key: key.to_owned(),
            fate: Fate::None,
            ran: false,
        };
        self.sendings.insert(request.id, sending);
        self.tell(at, Event::Arrived(&request));
    }

    /// Serves every call that an entry waits for.
    pub fn calls(&mut self, at: usize) {
        while self.call(at) {}
    }

    /// Serves one call. Returns whether there was one.
    pub fn call(&mut self, at: usize) -> bool {
        let Some((mut run, call, step)) = self.entries[at].calls.pop_front() else {
            return false;
        };
        let reply = self.serve(at, &call, &step);
        match run.next(reply) {
            ClaimStep::Done(news) => self.tell(at, Event::Claim(&news)),
            next => self.entries[at].calls.push_front((run, call, next)),
        }
        true
    }

    /// Lets everything take effect that is late.
    pub fn land(&mut self) {
        for (name, record) in std::mem::take(&mut self.late) {
            self.write(name, 0, record);
        }
    }

    /// Ends the oldest try of an entry.
    pub fn end(&mut self, at: usize, sent: Option<SendState>) {
        let Some(attempt) = self.entries[at].tries.pop_front() else {
            return;
        };
        let sending = self.sendings.get_mut(&attempt.id).expect("a sending");
        sending.ran |= sent.is_none_or(|s| !s.is_not_run());
        let Some(sent) = sent else {
            if sending.fate == Fate::None {
                sending.fate = Fate::Answer;
            }
            let finish = Finish {
                attempt,
                cached: TokenCount::ZERO,
                output: TokenCount::ZERO,
            };
            return self.tell(at, Event::Finished(&finish));
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
        self.tell(at, Event::Failed(&failure));
    }

    /// Lets the caller of an entry's last request hang up.
    pub fn hang(&mut self, at: usize) {
        let last = self.sendings.iter().rev().find(|(_, s)| s.entry == at);
        if let Some(id) = last.map(|(id, _)| *id) {
            let sending = self.sendings.get_mut(&id).expect("a sending");
            if sending.fate == Fate::None {
                sending.fate = Fate::Left;
            }
            self.tell(at, Event::CallerDisconnected(id));
        }
    }

    /// Lets an entry die. Its server runs what it was sent to the end.
    pub fn die(&mut self, at: usize) {
        for attempt in &self.entries[at].tries {
            let sending = self.sendings.get_mut(&attempt.id).expect("a sending");
            sending.ran = true;
        }
        self.entries[at].dead = true;
        self.entries[at].calls.clear();
        self.entries[at].tries.clear();
    }

    /// Sets whether an entry is cut off from the platform.
    pub fn cut(&mut self, at: usize, cut: bool) {
        self.entries[at].cut = cut;
    }

    /// Loses the next answer to an entry after its write took effect.
    pub fn lose(&mut self, at: usize) {
        self.entries[at].lose = true;
    }

    /// Lets the next write of an entry be late.
    pub fn late(&mut self, at: usize) {
        self.entries[at].late = true;
    }

    /// Lets time pass.
    pub fn wait(&mut self, millis: u64) {
        for at in 0..self.entries.len() {
            let bench = &mut self.entries[at].bench;
            bench.now = bench.now + std::time::Duration::from_millis(millis);
            self.tell(at, Event::Tick);
        }
    }

    /// Returns the sendings of a key that ran.
    pub fn runs(&self, key: &str) -> usize {
        let ran = self.sendings.values().filter(|s| s.key == key && s.ran);
        ran.count()
    }

    fn tell(&mut self, at: usize, event: Event<'_>) {
        if self.entries[at].dead {
            return;
        }
        for action in self.entries[at].bench.tell(event) {
            self.carry_out(at, action);
        }
    }

    fn carry_out(&mut self, at: usize, action: Action) {
        let entry = &mut self.entries[at];
        match action {
            Action::Claim(call) => {
                let run = ClaimOperation::new(&call);
                let step = run.first();
                entry.calls.push_back((run, call, step));
            }
            Action::Dispatch(order) => entry.tries.push_back(order.attempt),
            Action::Refuse(id, refusal) => self.settle(id, Fate::Refused(refusal)),
            Action::ReplayAnswer(id, _) => self.settle(id, Fate::Repeat),
            _ => {}
        }
    }

    fn settle(&mut self, id: RequestId, fate: Fate) {
        let sending = self.sendings.get_mut(&id).expect("a sending");
        assert_eq!(sending.fate, Fate::None, "a second outcome: {fate:?}");
        sending.fate = fate;
    }

    fn serve(&mut self, at: usize, call: &ClaimCommand, step: &ClaimStep) -> ClaimReply {
        self.calls += 1;
        let (name, record) = parts(call);
        let entry = &mut self.entries[at];
        let (late, lose) = (entry.late, entry.lose);
        if late && *step == ClaimStep::Write(0) {
            entry.late = false;
            self.late.push((name, record));
            return ClaimReply::Lost;
        }
        if entry.cut {
            return ClaimReply::Lost;
        }
        entry.lose = false;
        let reply = match step {
            ClaimStep::Write(expected) => self.write(name, *expected, record),
            ClaimStep::Delete(expected) => self.delete(name, *expected),
            _ => match self.objects.get(&name) {
                Some((version, record)) => ClaimReply::Found(*version, record.clone()),
                None => ClaimReply::Absent,
            },
        };
        if lose { ClaimReply::Lost } else { reply }
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

/// Returns a router before a plain service.
fn bench() -> Bench {
    let mut bench = Bench::new(1, 1);
    let (id, pool) = (ServiceId::new("advice"), PoolId::new("engines"));
    let service = ModelService::new(id, pool).with_kind(ServiceKind::Plain);
    let fleet = fleet(1, 1).with_service(service);
    bench.tell(Event::Configured(
        &fleet.with_version(ConfigVersion::new(2)),
    ));
    bench
}

fn parts(call: &ClaimCommand) -> (ClaimName, ClaimRecord) {
    let answer = ShortAnswer::new(200, "text/plain", b"done");
    match call {
        ClaimCommand::Create(ask) => (ask.name, ask.record()),
        ClaimCommand::Finish(t) | ClaimCommand::Release(t) => (t.name, t.finished(answer)),
    }
}
