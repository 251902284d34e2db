//! What is known of one backend server.

use std::time::Duration;

use super::{Health, LoadReport, LoadSample, LocalWork, ReportedWork, SlotShare, Work};
use crate::domain::{
    BackendServer, Incarnation, ListedState, Rank, Timestamp, TokenCount, WeightsVersion,
};
use crate::event::{Failure, FailureKind};
use crate::member::{LoadNotice, ServerStatus, ServerUpdate};

/// How long a failed server is left alone.
const SUSPECT_TIME: Duration = Duration::from_secs(2);
/// The time without a report after which a server may be dead or cut off.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// How long a server that rejected a request though it had slots is left alone: about the time
/// of a load.
const HOLD_TIME: Duration = Duration::from_millis(500);
/// How many times unseen work is counted at most for a server that tells of its load with each
/// answer.
const UNSEEN_WEIGHT_MAX: u32 = 2;
/// The share of a server's slots, in percent, that drafting leaves to urgent work.
const URGENT_RESERVE: u32 = 25;
/// The time that a request stays where none has been seen to end.
const DEFAULT_STAY: Duration = Duration::from_secs(1);
/// The requests over which the time that one stays is averaged.
const STAY_MEMORY: u32 = 16;

/// What is known of one backend server: its configuration, its last report and the work
/// that this entry has in flight there.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// The configuration.
    pub server: BackendServer,
    /// The incarnation that was last heard of.
    pub incarnation: Incarnation,
    /// The weights version that it has loaded, once it is known.
    pub weights: Option<WeightsVersion>,
    own: LocalWork,
    share: SlotShare,
    told: ReportedWork,
    stay: Duration,
    heard: Timestamp,
    listed: bool,
    health: Health,
    retry_at: Timestamp,
    /// Until when it is left alone after it rejected a request though it had slots.
    held: Timestamp,
}

impl ServerState {
    /// Creates the state of a server of which nothing was heard, shared by `entries` entries.
    pub fn new(server: BackendServer, entries: u32) -> Self {
        Self {
            share: SlotShare::new(server.slots, entries),
            incarnation: server.listed.map_or(Incarnation::ZERO, |l| l.incarnation),
            weights: server.listed.and_then(|l| l.weights),
            server,
            own: LocalWork::new(),
            told: ReportedWork::default(),
            stay: DEFAULT_STAY,
            heard: Timestamp::ZERO,
            listed: false,
            health: Health::Live,
            retry_at: Timestamp::ZERO,
            held: Timestamp::ZERO,
        }
    }

    /// Takes over a changed configuration or number of entries. Returns whether what is known
    /// of its cache no longer holds.
    pub fn reconfigure(&mut self, server: &BackendServer, entries: u32) -> bool {
        self.share.resize(server.slots, entries);
        let old = std::mem::replace(&mut self.server, server.clone()).listed;
        match server.listed {
            Some(loaded) if old != Some(loaded) => self.apply_listing(loaded),
            _ => false,
        }
    }

    /// Takes in what the platform's list says anew. Returns whether what is known of the
    /// server's cache no longer holds.
    pub fn apply_listing(&mut self, loaded: ListedState) -> bool {
        if loaded.incarnation < self.incarnation {
            return false;
        }
        let reborn = loaded.incarnation > self.incarnation;
        // Within a life weights only become newer, and the list lags behind the answers.
        let newer = loaded.weights > self.weights;
        if reborn {
            self.health = Health::Live;
            self.incarnation = loaded.incarnation;
        }
        if reborn || newer {
            self.weights = loaded.weights;
            self.held = Timestamp::ZERO;
        }
        reborn || newer
    }

    /// Takes in that the server is about to load weights and takes no work meanwhile, or has
    /// loaded them. Returns whether what is known of its cache no longer holds.
    pub fn apply_loading(&mut self, loading: &LoadNotice, now: Timestamp) -> bool {
        let newer = self.weights.is_none_or(|had| had < loading.weights);
        let done = loading.duration.is_zero();
        if newer && done {
            self.weights = Some(loading.weights);
        }
        if newer || done {
            self.held = now + loading.duration;
        }
        newer && done
    }

    /// Takes in what an answer told. Returns whether what is known of the server's cache no
    /// longer holds.
    pub fn apply_sample(&mut self, sample: &LoadSample, now: Timestamp) -> bool {
        if let Some((running, queued)) = sample.load {
            self.own.roll(now);
            self.told.sample(running + queued, now);
            let own = self.own.total().in_flight;
            self.share.observe(running + queued, own, now);
        }
        let other = sample
            .weights
            .filter(|w| self.weights.is_some_and(|had| had < *w));
        if other.is_some() {
            // It has loaded what it was rejecting requests for.
            self.held = Timestamp::ZERO;
        }
        self.weights = other.or(self.weights);
        other.is_some()
    }

    /// Takes in a report.
    pub fn apply_report(&mut self, report: &LoadReport, now: Timestamp) {
        if report.incarnation < self.incarnation {
            return;
        }
        self.incarnation = report.incarnation;
        self.weights = Some(report.weights);
        self.own.roll(now);
        self.heard = now;
        self.told.report(Work {
            in_flight: report.running + report.queued,
            pending: report.pending,
        });
        self.share
            .apply_report(report, self.own.total().in_flight, now);
        self.health = match (self.health, report.leaving) {
            (_, true) => Health::Leaving,
            // A server that was leaving and says that it is not has been taken back.
            (Health::Leaving, false) => Health::Live,
            (health, false) => health,
        };
    }

    /// Takes in what another entry said. Only the server's own report takes it back, and news
    /// of an earlier incarnation is dropped.
    pub fn apply_news(&mut self, news: &ServerUpdate) {
        if news.status == ServerStatus::Leaving && news.incarnation >= self.incarnation {
            self.health = Health::Leaving;
        }
    }

    /// Notes whether the platform lists the server as leaving. The list lags, so what the
    /// server or an entry says counts beside it.
    pub const fn set_listed_leaving(&mut self, leaving: bool) {
        self.listed = leaving;
    }

    /// Tells whether the server is leaving, by its own word or another entry's.
    pub fn is_leaving(&self) -> bool {
        self.health == Health::Leaving
    }

    /// Notes that a request with `owed` uncached prompt tokens is in flight here, and returns
    /// the period that it is noted in.
    pub fn begin(&mut self, owed: TokenCount) -> u64 {
        self.own.begin(owed)
    }

    /// Notes that `owed` prompt tokens of a request were computed or will not be.
    pub fn finish_prefill(&mut self, period: u64, owed: TokenCount) {
        self.own.finish_prefill(period, owed);
    }

    /// Notes that a request that still owed some prompt tokens is no longer in flight here.
    pub fn release(&mut self, period: u64, owed: TokenCount) {
        self.own.finish_prefill(period, owed);
        self.own.end(period);
    }

    /// Notes a failure at `now`. Returns whether what is known of its cache no longer holds.
    pub fn record_failure(&mut self, failure: &Failure, now: Timestamp) -> bool {
        match failure.kind {
            // Its weights have changed since they were listed, or the server is another one.
            FailureKind::Mismatch if self.server.listed.is_some() => {
                return match self.weights.take() {
                    Some(_) => true,
                    None => {
                        self.suspect(now);
                        false
                    }
                };
            }
            FailureKind::Mismatch => {
                let known = self.incarnation > Incarnation::ZERO;
                self.incarnation = Incarnation::ZERO;
                return known;
            }
            // It has slots and rejects all the same: it is loading weights or about to leave.
            FailureKind::Busy if failure.is_capacity_rejection() && self.has_slots(now) => {
                self.held = now + HOLD_TIME;
            }
            FailureKind::Busy if failure.is_capacity_rejection() => {
                self.share.refused(self.in_flight(), now)
            }
            // A silent connection says nothing of the server: something between the two ends
            // may have lost track of it while new connections work.
            FailureKind::Busy | FailureKind::Silent | FailureKind::Declined => {}
            FailureKind::Unreachable | FailureKind::Broken | FailureKind::Faulty => {
                self.suspect(now);
            }
        }
        false
    }

    /// Notes an answer that was complete after `time`, which ends a suspicion.
    pub fn record_success(&mut self, time: Duration, now: Timestamp) {
        self.stay = (self.stay * (STAY_MEMORY - 1) + time) / STAY_MEMORY;
        let in_flight = self.in_flight();
        self.share.answered(in_flight, now);
        if self.health == Health::Suspect {
            self.health = Health::Live;
        }
    }

    /// Returns whether the server may be given work, as far as that is known.
    pub const fn health(&self) -> Health {
        match self.server.leaving || self.listed {
            true => Health::Leaving,
            false => self.health,
        }
    }

    /// Tells whether the server may be given new work at `now`.
    pub fn accepts(&self, now: Timestamp) -> bool {
        match self.health() {
            Health::Live => now >= self.held,
            Health::Suspect => now > self.retry_at && now >= self.held,
            Health::Leaving => false,
        }
    }

    /// Tells whether this entry may fill one more slot here. `owed` lets drafting have the
    /// slots that it otherwise leaves to urgent work.
    pub fn has_capacity(&self, rank: Rank, owed: bool, now: Timestamp) -> bool {
        let reserve = self.server.slots * URGENT_RESERVE / 100;
        // The server lets urgent work that waits in it go before the drafting of others.
        let over = if rank == Rank::Urgent { reserve } else { 0 };
        let room = self.share.allows(self.in_flight(), over, now);
        let kept = match rank {
            Rank::Drafting if !owed => reserve,
            Rank::Drafting | Rank::Urgent => 0,
        };
        room && (kept == 0 || self.load(now) + kept < self.server.slots)
    }

    /// Returns when a server that failed or refused is tried again.
    pub fn retry_at(&self) -> Option<Timestamp> {
        match self.health {
            Health::Suspect => Some(self.retry_at),
            Health::Live => self.share.paused().max(Some(self.held)),
            Health::Leaving => None,
        }
    }

    /// Returns the requests of this entry in flight here.
    pub fn in_flight(&self) -> u32 {
        self.own.total().in_flight
    }

    /// Tells whether the server used to report and has stopped. It may be dead or cut off.
    pub fn is_stale(&self, now: Timestamp) -> bool {
        self.heard > Timestamp::ZERO && now.since(self.heard) > QUIET_TIME
    }

    /// Returns the number of entries that share the server.
    pub const fn entries(&self) -> u32 {
        self.share.entries()
    }

    /// Returns the prompt tokens ahead of a new request, as far as they are known.
    pub fn pending_tokens(&self) -> TokenCount {
        let seen = self.told.pending().max(self.own.seen().pending);
        // What this entry sent since the report, the other entries are taken to have sent
        // too: all choose by the same report, and must not all choose the same server.
        let unseen = self.own.unseen().pending.get();
        seen + TokenCount::new(unseen.saturating_mul(u64::from(self.unseen_weight())))
    }

    /// Returns how many times this entry's unseen work is counted. Where each answer tells of
    /// the load, little is unseen, and other entries are as likely to have chosen other servers.
    fn unseen_weight(&self) -> u32 {
        match self.server.listed {
            Some(_) => self.share.entries().min(UNSEEN_WEIGHT_MAX),
            None => self.share.entries(),
        }
    }

    /// Returns the time until a slot is free for a new request, as far as it is known.
    pub fn slot_wait(&self, now: Timestamp) -> Duration {
        let slots = self.server.slots.max(1);
        let over = (self.load(now) + 1).saturating_sub(slots);
        // Slots come free one after the other, evenly over the time that a request stays.
        self.stay * over / slots
    }

    /// Returns the requests that the server runs or holds, as far as they are known.
    pub fn load(&self, now: Timestamp) -> u32 {
        let seen = self.told.in_flight(now).max(self.own.seen().in_flight);
        seen + self.own.unseen().in_flight * self.unseen_weight()
    }

    /// Tells whether a listed server should have slots, as far as its load is known.
    fn has_slots(&self, now: Timestamp) -> bool {
        self.server.listed.is_some() && self.load(now) < self.server.slots
    }

    fn suspect(&mut self, now: Timestamp) {
        if self.health != Health::Leaving {
            self.health = Health::Suspect;
            self.retry_at = now + SUSPECT_TIME;
        }
    }
}
