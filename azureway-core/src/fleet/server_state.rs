//! Tracks the health, load and weights of one backend server, to tell if it can take a request.

use std::time::Duration;

use super::{
    Health, LoadReport, LoadSample, LocalWork, PaceMeter, PauseHold, RateShare, ReportedWork,
    SlotShare, Work,
};
use crate::domain::{
    BackendServer, Incarnation, ListedState, Rank, Request, Timestamp, TokenCount, WeightsVersion,
};
use crate::member::LoadNotice;

/// The time without a report after which a server that used to report may be down or unreachable.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum weight of unreported work at a server that attaches its load to each answer.
const MAX_UNREPORTED_WEIGHT: u32 = 2;
/// The percentage of a server's slots that drafting requests leave free for urgent ones.
const URGENT_RESERVE: u32 = 25;
/// The assumed service time of a request at a server that has completed none.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_secs(1);
/// The window of the moving average of the service time, in requests.
const SERVICE_TIME_WINDOW: u32 = 16;

/// The runtime state of one backend server: its configuration, its last reported load and the
/// work that this entry has in flight there.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// The configuration of the server.
    pub server: BackendServer,
    /// The latest known incarnation, or zero if none is known.
    pub incarnation: Incarnation,
    /// The weights version that the server has loaded, if known.
    pub weights: Option<WeightsVersion>,
    /// The newer weights version that the server is about to load, if it was announced.
    loading: Option<WeightsVersion>,
    /// This entry's share of the rate that the server names as its limit, if it names one.
    pub rate: RateShare,
    /// This entry's hold on the server, if the server asked for a pause.
    pub pause: PauseHold,
    /// The pace of the server's machine, if the server states it.
    pub pace: PaceMeter,
    local: LocalWork,
    pub(super) share: SlotShare,
    reported: ReportedWork,
    pub(super) service_time: Duration,
    last_report: Timestamp,
    listed_leaving: bool,
    announced: bool,
    pub(super) health: Health,
    pub(super) retry_at: Timestamp,
    /// The time until which the server gets no requests because it loads weights or rejected a
    /// request in spite of free slots.
    pub(super) held_until: Timestamp,
}

impl ServerState {
    /// Creates the state of a server that has not reported yet and is shared by `entries` entries.
    /// `seed` differs between entries.
    pub fn new(server: BackendServer, entries: u32, seed: u64) -> Self {
        Self {
            share: SlotShare::new(server.slots, entries),
            rate: RateShare::new(entries, seed, &server.id),
            pause: PauseHold::new(seed, &server.id),
            pace: PaceMeter::new(),
            incarnation: server.listed.map_or(Incarnation::ZERO, |l| l.incarnation),
            weights: server.listed.and_then(|l| l.weights),
            loading: None,
            server,
            local: LocalWork::new(),
            reported: ReportedWork::default(),
            service_time: DEFAULT_SERVICE_TIME,
            last_report: Timestamp::ZERO,
            listed_leaving: false,
            announced: false,
            health: Health::Live,
            retry_at: Timestamp::ZERO,
            held_until: Timestamp::ZERO,
        }
    }

    /// Keeps the hold on a server that is back on the list, unless it has restarted.
    #[must_use]
    pub(super) fn with_hold(mut self, hold: Option<PauseHold>) -> Self {
        self.pause = hold.unwrap_or(self.pause);
        self.pause.observe_incarnation(self.incarnation);
        self
    }

    /// Applies a changed configuration or number of entries. Returns whether the cached blocks
    /// known for the server are invalid.
    pub fn reconfigure(&mut self, server: &BackendServer, entries: u32) -> bool {
        self.share.resize(server.slots, entries);
        self.rate.set_entries(entries);
        let old = std::mem::replace(&mut self.server, server.clone()).listed;
        match server.listed {
            Some(listed) if old != Some(listed) => self.apply_listing(listed),
            _ => false,
        }
    }

    /// Applies the state of the server in the platform's list, after it has changed. Returns whether
    /// the cached blocks known for the server are invalid.
    pub fn apply_listing(&mut self, listed: ListedState) -> bool {
        if listed.incarnation < self.incarnation {
            return false;
        }
        let restarted = listed.incarnation > self.incarnation;
        // Within an incarnation the weights only get newer, and the list lags behind the answers.
        let newer = listed.weights > self.weights;
        if restarted {
            self.health = Health::Live;
            self.incarnation = listed.incarnation;
            self.pause.observe_incarnation(listed.incarnation);
        }
        if restarted || newer {
            self.weights = listed.weights;
            self.held_until = Timestamp::ZERO;
        }
        restarted || newer
    }

    /// Returns the newest weights version that the server is known to have or to be loading.
    pub fn newest_weights(&self) -> Option<WeightsVersion> {
        self.weights.max(self.loading)
    }

    /// Applies a notice that the server is about to load weights, and takes no requests
    /// meanwhile, or has loaded them. Returns whether the cached blocks known for the server are
    /// invalid.
    pub fn apply_loading(&mut self, loading: &LoadNotice, now: Timestamp) -> bool {
        let named = loading.weights > WeightsVersion::ZERO;
        let newer = named && self.weights.is_none_or(|known| known < loading.weights);
        let done = loading.duration.is_zero();
        if newer && done {
            self.weights = Some(loading.weights);
        }
        if newer || done {
            self.held_until = now + loading.duration;
            self.loading = (!done).then_some(loading.weights);
        }
        newer && done
    }

    /// Applies the load figures attached to an answer. Returns whether the cached blocks known
    /// for the server are invalid.
    pub fn apply_sample(&mut self, sample: &LoadSample, now: Timestamp) -> bool {
        if let Some((running, queued)) = sample.load {
            self.local.rotate(now);
            let load = running.saturating_add(queued);
            self.reported.sample(load, now);
            let own = self.local.total().in_flight;
            self.share.observe(load, own, now);
        }
        self.rate.observe(sample.rate_limit, now);
        if let Some(pace) = sample.pace {
            self.pace.observe(pace, now);
        }
        let newer = sample
            .weights
            .filter(|w| self.weights.is_some_and(|known| known < *w));
        if newer.is_some() {
            // The load for which the server rejected requests is complete.
            self.held_until = Timestamp::ZERO;
        }
        self.weights = newer.or(self.weights).or(sample.weights);
        newer.is_some()
    }

    /// Applies a load report. A report of an earlier incarnation is ignored.
    pub fn apply_report(&mut self, report: &LoadReport, now: Timestamp) {
        if report.incarnation < self.incarnation {
            return;
        }
        self.incarnation = report.incarnation;
        self.pause.observe_incarnation(report.incarnation);
        self.weights = Some(report.weights);
        self.local.rotate(now);
        self.last_report = now;
        if let Some(pace) = report.pace {
            self.pace.observe(pace, now);
        }
        self.reported.report(Work {
            in_flight: report.running.saturating_add(report.queued),
            pending: report.pending,
        });
        self.share
            .apply_report(report, self.local.total().in_flight, now);
        self.health = match (self.health, report.leaving) {
            (_, true) => Health::Leaving,
            // A draining server that reports that it is not draining is back in service.
            (Health::Leaving, false) => Health::Live,
            (health, false) => health,
        };
    }

    /// Sets whether the server has announced that it leaves, to this entry or to another.
    pub const fn set_announced(&mut self, announced: bool) {
        self.announced = announced;
    }

    /// Sets whether the platform lists the server as draining. The list lags, so the reports of
    /// the server and the updates of other entries count independently of it.
    pub const fn set_listed_leaving(&mut self, leaving: bool) {
        self.listed_leaving = leaving;
    }

    /// Returns whether the server is draining according to its own reports and answers, which another
    /// entry may have passed on.
    pub fn is_leaving(&self) -> bool {
        self.announced || self.health == Health::Leaving
    }

    /// Records a request in flight that has `pending` uncached prompt tokens, and returns the period
    /// that it is counted in.
    pub fn begin(&mut self, pending: TokenCount, now: Timestamp) -> u64 {
        self.rate.spend(now);
        self.local.begin(pending)
    }

    /// Records that `tokens` prompt tokens of a request are computed or no longer needed.
    pub fn finish_prefill(&mut self, period: u64, tokens: TokenCount) {
        self.local.finish_prefill(period, tokens);
    }

    /// Records that a request, with `pending` prompt tokens still to compute, is no longer in
    /// flight.
    pub fn release(&mut self, period: u64, pending: TokenCount) {
        self.local.finish_prefill(period, pending);
        self.local.end(period);
    }

    /// Records an answer that was complete after `time`. This ends a suspicion.
    pub fn record_success(&mut self, time: Duration, now: Timestamp) {
        self.service_time =
            (self.service_time * (SERVICE_TIME_WINDOW - 1) + time) / SERVICE_TIME_WINDOW;
        let in_flight = self.in_flight();
        self.share.record_success(in_flight, now);
        if self.health == Health::Suspect {
            self.health = Health::Live;
        }
    }

    /// Returns the health state, with the server's configuration and the platform's list
    /// included.
    pub const fn health(&self) -> Health {
        match self.server.leaving || self.listed_leaving || self.announced {
            true => Health::Leaving,
            false => self.health,
        }
    }

    /// Returns whether the server may get new requests at `now`.
    pub fn accepts(&self, now: Timestamp) -> bool {
        let held = now < self.held_until || self.pause.holds(now);
        match self.health() {
            Health::Live => !held,
            Health::Suspect => now > self.retry_at && !held,
            Health::Leaving => false,
        }
    }

    /// Returns when this entry may send one more request after a pause that the server asked for.
    pub fn next_after_pause(&self) -> Timestamp {
        let slots = self.server.slots.div_ceil(self.share.entries());
        self.pause.next_request(self.in_flight(), slots)
    }

    /// Returns whether this entry may send one more request of `rank`. With `use_reserved`, a
    /// drafting request may use the slots that are otherwise reserved for urgent ones.
    pub fn has_capacity(&self, rank: Rank, use_reserved: bool, now: Timestamp) -> bool {
        let reserve = self.server.slots.saturating_mul(URGENT_RESERVE) / 100;
        // The server runs queued urgent requests before the drafting requests of other entries.
        let extra = if rank == Rank::Urgent { reserve } else { 0 };
        let allowed = self.share.allows(self.in_flight(), extra, now);
        let reserved = match rank {
            Rank::Drafting if !use_reserved => reserve,
            Rank::Drafting | Rank::Urgent => 0,
        };
        allowed && (reserved == 0 || self.load(now).saturating_add(reserved) < self.server.slots)
    }

    /// Returns whether the memory of the server holds the prompt of a request.
    pub fn can_hold(&self, request: &Request) -> bool {
        let capacity = self.server.capacity;
        capacity.is_none_or(|c| request.prompt.tokens() < c.memory)
    }

    /// Returns the number of this entry's requests in flight at the server.
    pub fn in_flight(&self) -> u32 {
        self.local.total().in_flight
    }

    /// Returns whether the server used to report and has stopped. It may be down or unreachable.
    pub fn is_stale(&self, now: Timestamp) -> bool {
        self.last_report > Timestamp::ZERO && now.since(self.last_report) > REPORT_TIMEOUT
    }

    /// Returns the number of entries that share the server.
    pub const fn entries(&self) -> u32 {
        self.share.entries()
    }

    /// Returns an estimate of the prompt tokens to be computed before a new request starts.
    pub fn pending_tokens(&self) -> TokenCount {
        let reported = self.reported.pending().max(self.local.reported().pending);
        // The other entries are assumed to have sent as much since the report as this one: all
        // choose by the same report, and must not all choose the same server.
        let unreported = self.local.unreported().pending.get();
        reported + TokenCount::new(unreported.saturating_mul(u64::from(self.unreported_weight())))
    }

    /// Returns the factor by which this entry's unreported work is multiplied.
    ///
    /// The factor is bounded for a server that attaches its load to each answer: little of its
    /// work is unreported, and the other entries are as likely to have chosen other servers.
    fn unreported_weight(&self) -> u32 {
        match self.server.listed {
            Some(_) => self.share.entries().min(MAX_UNREPORTED_WEIGHT),
            None => self.share.entries(),
        }
    }

    /// Returns an estimate of the time until a slot is free for a new request.
    pub fn slot_wait(&self, now: Timestamp) -> Duration {
        let slots = self.server.slots.max(1);
        let excess = self.load(now).saturating_add(1).saturating_sub(slots);
        // Assumes that the slots become free one by one, evenly spread over the service time.
        self.service_time.saturating_mul(excess) / slots
    }

    /// Returns how much longer than usual a request without a prompt takes, if it is sent at `now`.
    pub fn slowdown(&self, now: Timestamp) -> Duration {
        self.pace.slowdown(self.service_time, now)
    }

    /// Returns an estimate of the number of requests running or queued at the server.
    pub fn load(&self, now: Timestamp) -> u32 {
        let reported = self
            .reported
            .in_flight(now)
            .max(self.local.reported().in_flight);
        let unreported = self.local.unreported().in_flight;
        reported.saturating_add(unreported.saturating_mul(self.unreported_weight()))
    }

    /// Returns whether a listed server has free slots by the load estimate.
    pub(super) fn has_free_slots(&self, now: Timestamp) -> bool {
        self.server.listed.is_some() && self.load(now) < self.server.slots
    }
}
