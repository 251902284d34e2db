//! A simulation, in virtual time, of many entries that use one platform.
#![expect(unreachable_pub, reason = "a test's module has no outside")]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use azureway_core::prelude::*;

/// The number of entries that is planned for the next two years.
pub const ENTRIES: usize = 360;
/// The number of availability zones that is planned for the next two years.
const ZONES: usize = 7;
/// Selects the entries of a zone that watch.
const WATCHERS: EntrySelector = EntrySelector::new(2, 1);
/// The duration of a call that is served or refused.
const CALL_TIME: Duration = Duration::from_millis(5);
/// The duration of a call that times out.
const SLOW_TIME: Duration = Duration::from_secs(2);
/// The time until the peers of an entry receive a version from it.
const PEER_TIME: Duration = Duration::from_secs(1);

/// The way the platform answers calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlatformState {
    Up,
    Out,
    Slow,
    Limit(u32),
}

/// An entry that reads the configuration.
struct Entry {
    id: InstanceId,
    watch: WatchSchedule,
    version: u64,
}

/// The result of an entry's call, once it is known.
type Reply = Option<std::result::Result<u64, ErrorKind>>;

/// Many entries that use one platform.
pub struct Simulation {
    pub now: Timestamp,
    pub state: PlatformState,
    pub version: u64,
    /// The number of calls in each second.
    pub calls: BTreeMap<u64, u32>,
    entries: Vec<Entry>,
    schedule: BTreeSet<(Timestamp, usize)>,
    replies: Vec<Reply>,
    waiting: BTreeSet<usize>,
    /// The times at which the entries of a zone receive a version from one of them.
    deliveries: BTreeSet<(Timestamp, usize, u64)>,
    generation: u64,
}

impl Simulation {
    /// Creates a simulation whose entries start at the same time.
    pub fn new() -> Self {
        let mut simulation = Self {
            now: Timestamp::ZERO,
            state: PlatformState::Up,
            version: 1,
            calls: BTreeMap::new(),
            entries: Vec::new(),
            schedule: BTreeSet::new(),
            replies: Vec::new(),
            waiting: BTreeSet::new(),
            deliveries: BTreeSet::new(),
            generation: 0,
        };
        simulation.restart();
        simulation
    }

    /// Restarts every entry.
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
                let mut watch = WatchSchedule::new(seed);
                watch.set_selected(WATCHERS.includes(id, &live), self.now);
                Entry {
                    id: id.clone(),
                    watch,
                    version: 0,
                }
            })
            .collect();
        self.replies = vec![None; ENTRIES];
        self.waiting.clear();
        self.deliveries.clear();
        self.schedule = (0..ENTRIES).map(|n| (self.now, n)).collect();
    }

    /// Sets how the platform answers calls. Waiting watches end unless the platform is up.
    pub fn set_state(&mut self, state: PlatformState) {
        self.state = state;
        if state != PlatformState::Up {
            self.end_watches();
        }
    }

    /// Writes a new version.
    pub fn change(&mut self) {
        self.version += 1;
        self.end_watches();
    }

    /// Advances the time to `until`. Returns when all entries had the newest version, if they did.
    pub fn run(&mut self, until: Timestamp) -> Option<Timestamp> {
        let mut done = self.is_done().then_some(self.now);
        while let Some(time) = self.next_time().filter(|t| *t <= until) {
            self.now = time;
            if let Some((_, zone, version)) =
                self.deliveries.first().copied().filter(|t| t.0 == time)
            {
                self.deliveries.pop_first();
                self.deliver(zone, version);
            } else if let Some((_, at)) = self.schedule.pop_first() {
                self.step(at);
            }
            if done.is_none() && self.is_done() {
                done = Some(self.now);
            }
        }
        self.now = until;
        done
    }

    fn next_time(&self) -> Option<Timestamp> {
        let scheduled = self.schedule.first().map(|(t, _)| *t);
        let delivered = self.deliveries.first().map(|(t, ..)| *t);
        scheduled.into_iter().chain(delivered).min()
    }

    fn is_done(&self) -> bool {
        self.entries.iter().all(|e| e.version == self.version)
    }

    fn step(&mut self, at: usize) {
        self.waiting.remove(&at);
        let entry = &mut self.entries[at];
        match self.replies[at].take() {
            Some(Ok(version)) => {
                entry.watch.record_success(version, self.now);
                self.receive(at, version);
            }
            Some(Err(kind)) => entry.watch.record_failure(kind, self.now),
            None => {}
        }
        match self.entries[at].watch.next(self.now) {
            WatchStep::Wait(time) => drop(self.schedule.insert((time, at))),
            WatchStep::List => self.call(at, None),
            WatchStep::Watch(after, wait) => self.call(at, Some((after, wait))),
        }
    }

    /// Gives a version to an entry and schedules its delivery to the entries of the zone.
    fn receive(&mut self, at: usize, version: u64) {
        if version > self.entries[at].version {
            self.entries[at].version = version;
            self.deliveries
                .insert((self.now + PEER_TIME, at % ZONES, version));
        }
    }

    /// Delivers a version to the entries of a zone.
    fn deliver(&mut self, zone: usize, version: u64) {
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
        let (reply, time) = match self.state {
            PlatformState::Out => (Err(ErrorKind::Unavailable), CALL_TIME),
            PlatformState::Slow => (Err(ErrorKind::Unavailable), SLOW_TIME),
            PlatformState::Limit(rate) if *calls > rate => (Err(ErrorKind::Limited), CALL_TIME),
            PlatformState::Up | PlatformState::Limit(_) => match watch {
                Some((after, wait)) if after == self.version => (Ok(after), wait.max(CALL_TIME)),
                _ => (Ok(self.version), CALL_TIME),
            },
        };
        if watch.is_some() && reply.is_ok() {
            self.waiting.insert(at);
        }
        self.replies[at] = Some(reply);
        self.schedule.insert((self.now + time, at));
    }

    fn end_watches(&mut self) {
        let out = matches!(self.state, PlatformState::Out | PlatformState::Slow);
        let reply = if out {
            Err(ErrorKind::Unavailable)
        } else {
            Ok(self.version)
        };
        for at in std::mem::take(&mut self.waiting) {
            self.schedule.retain(|(_, n)| *n != at);
            self.replies[at] = Some(reply);
            self.schedule.insert((self.now + CALL_TIME, at));
        }
    }

    /// Returns the names of the entries that lack the newest version.
    pub fn outdated(&self) -> Vec<&str> {
        let outdated = self.entries.iter().filter(|e| e.version < self.version);
        outdated.map(|e| e.id.as_str()).collect()
    }
}
