//! Many entries before one platform, in virtual time.
#![expect(unreachable_pub, reason = "a test's module has no outside")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azureway_core::prelude::*;

/// The entries of the plan for the next two years.
pub const ENTRIES: usize = 360;
/// The availability zones of that plan.
const ZONES: usize = 7;
/// The entries of a zone that watch.
const WATCHERS: EntrySelector = EntrySelector::new(2, 1);
/// The time of a call that is served or refused.
const CALL_TIME: Duration = Duration::from_millis(5);
/// The time of a call that is not answered.
const SLOW_TIME: Duration = Duration::from_secs(2);
/// The time in which a peer passes a version on.
const PEER_TIME: Duration = Duration::from_secs(1);

/// What the platform does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    Up,
    Out,
    Slow,
    Limit(u32),
}

/// An entry that asks for the configuration.
struct Entry {
    id: InstanceId,
    plan: WatchSchedule,
    version: u64,
}

/// What an entry's call ends with.
type Reply = Option<std::result::Result<u64, ErrorKind>>;

/// Many entries before one platform.
pub struct Crowd {
    pub now: Timestamp,
    pub mood: Mood,
    pub version: u64,
    /// The calls of each second.
    pub calls: BTreeMap<u64, u32>,
    entries: Vec<Entry>,
    agenda: BTreeSet<(Timestamp, usize)>,
    replies: Vec<Reply>,
    waiting: BTreeSet<usize>,
    /// When a zone hears of a version from one of its entries.
    told: BTreeSet<(Timestamp, usize, u64)>,
    generation: u64,
}

impl Crowd {
    /// Creates entries that start at the same time.
    pub fn new() -> Self {
        let mut crowd = Self {
            now: Timestamp::ZERO,
            mood: Mood::Up,
            version: 1,
            calls: BTreeMap::new(),
            entries: Vec::new(),
            agenda: BTreeSet::new(),
            replies: Vec::new(),
            waiting: BTreeSet::new(),
            told: BTreeSet::new(),
            generation: 0,
        };
        crowd.restart();
        crowd
    }

    /// Starts every entry anew.
    pub fn restart(&mut self) {
        self.generation += 1;
        let ids: Vec<_> = (0..ENTRIES)
            .map(|n| InstanceId::new(&format!("entry-{n}")))
            .collect();
        self.entries = ids
            .iter()
            .enumerate()
            .map(|(n, id)| {
                let zone = ids.iter().skip(n % ZONES).step_by(ZONES).cloned();
                let live: Vec<_> = zone.collect();
                let seed = self.generation * 1_000_003 + n as u64 * 7_919;
                let mut plan = WatchSchedule::new(seed);
                plan.set_selected(WATCHERS.includes(id, &live), self.now);
                Entry {
                    id: id.clone(),
                    plan,
                    version: 0,
                }
            })
            .collect();
        self.replies = vec![None; ENTRIES];
        self.waiting.clear();
        self.told.clear();
        self.agenda = (0..ENTRIES).map(|n| (self.now, n)).collect();
    }

    /// Changes what the platform does with calls. Watches that wait end with an outage.
    pub fn set_mood(&mut self, mood: Mood) {
        self.mood = mood;
        if mood != Mood::Up {
            self.end_watches();
        }
    }

    /// Writes a new version.
    pub fn change(&mut self) {
        self.version += 1;
        self.end_watches();
    }

    /// Lets time pass until `until`, and returns when everybody had the newest version.
    pub fn run(&mut self, until: Timestamp) -> Option<Timestamp> {
        let mut done = self.is_done().then_some(self.now);
        while let Some(time) = self.next_time().filter(|t| *t <= until) {
            self.now = time;
            if let Some((_, zone, version)) = self.told.first().copied().filter(|t| t.0 == time) {
                self.told.pop_first();
                self.hear(zone, version);
            } else if let Some((_, at)) = self.agenda.pop_first() {
                self.act(at);
            }
            if done.is_none() && self.is_done() {
                done = Some(self.now);
            }
        }
        self.now = until;
        done
    }

    fn next_time(&self) -> Option<Timestamp> {
        let asked = self.agenda.first().map(|(t, _)| *t);
        let told = self.told.first().map(|(t, ..)| *t);
        asked.into_iter().chain(told).min()
    }

    fn is_done(&self) -> bool {
        self.entries.iter().all(|e| e.version == self.version)
    }

    fn act(&mut self, at: usize) {
        self.waiting.remove(&at);
        let entry = &mut self.entries[at];
        match self.replies[at].take() {
            Some(Ok(version)) => {
                entry.plan.record_success(version, self.now);
                self.adopt(at, version);
            }
            Some(Err(kind)) => entry.plan.record_failure(kind, self.now),
            None => {}
        }
        match self.entries[at].plan.next(self.now) {
            WatchStep::Wait(time) => drop(self.agenda.insert((time, at))),
            WatchStep::List => self.call(at, None),
            WatchStep::Watch(after, wait) => self.call(at, Some((after, wait))),
        }
    }

    /// Takes a version over, and lets the peers of the zone hear of it.
    fn adopt(&mut self, at: usize, version: u64) {
        if version > self.entries[at].version {
            self.entries[at].version = version;
            self.told
                .insert((self.now + PEER_TIME, at % ZONES, version));
        }
    }

    /// Lets the peers of a zone take a version over.
    fn hear(&mut self, zone: usize, version: u64) {
        for peer in (zone..ENTRIES).step_by(ZONES) {
            let entry = &mut self.entries[peer];
            entry.version = entry.version.max(version);
        }
    }

    fn call(&mut self, at: usize, watch: Option<(u64, Duration)>) {
        let calls = self
            .calls
            .entry(self.now.as_micros() / 1_000_000)
            .or_default();
        *calls += 1;
        let (reply, time) = match self.mood {
            Mood::Out => (Err(ErrorKind::Unavailable), CALL_TIME),
            Mood::Slow => (Err(ErrorKind::Unavailable), SLOW_TIME),
            Mood::Limit(rate) if *calls > rate => (Err(ErrorKind::Limited), CALL_TIME),
            Mood::Up | Mood::Limit(_) => match watch {
                Some((after, wait)) if after == self.version => (Ok(after), wait.max(CALL_TIME)),
                _ => (Ok(self.version), CALL_TIME),
            },
        };
        if watch.is_some() && reply.is_ok() {
            self.waiting.insert(at);
        }
        self.replies[at] = Some(reply);
        self.agenda.insert((self.now + time, at));
    }

    fn end_watches(&mut self) {
        let out = matches!(self.mood, Mood::Out | Mood::Slow);
        let reply = if out {
            Err(ErrorKind::Unavailable)
        } else {
            Ok(self.version)
        };
        for at in std::mem::take(&mut self.waiting) {
            self.agenda.retain(|(_, n)| *n != at);
            self.replies[at] = Some(reply);
            self.agenda.insert((self.now + CALL_TIME, at));
        }
    }

    /// Returns the names of the entries that lack the newest version.
    pub fn behind(&self) -> Vec<&str> {
        let behind = self.entries.iter().filter(|e| e.version < self.version);
        behind.map(|e| e.id.as_str()).collect()
    }
}
