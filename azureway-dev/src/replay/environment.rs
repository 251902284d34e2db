//! Everything around the core in a replay: the clock, the engines, the links and the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::prelude::{
    Attempt, Dispatch, FailureKind, Finish, Incarnation, RequestId, SendState, Timestamp,
    TokenCount, WeightsVersion, ZoneId,
};
use fastrand::Rng;

use super::{
    EngineUpdate, Engines, EventQueue, GeneratedToken, InFlightAttempt, Links, Owner,
    PlatformModel, ReplayEvent, Tally, Task, Transit,
};
use crate::trace::Header;

/// The simulated environment of the core: the clock, the engines, the links and the platform,
/// with the counts of a replay.
#[derive(Debug)]
pub struct Environment {
    /// The virtual time.
    pub now: Timestamp,
    /// The events to come.
    pub events: EventQueue,
    /// The engines.
    pub engines: Engines,
    /// The links between the entry and the engines.
    pub links: Links,
    /// The attempts in flight, by request.
    pub in_flight: BTreeMap<RequestId, InFlightAttempt>,
    /// The counts of the replay.
    pub tally: Tally,
    /// The simulated platform.
    pub platform: PlatformModel,
    crosses_regions: bool,
    update_delays: Vec<Duration>,
    rng: Rng,
}

/// The size of a token on a link, in bytes.
const TOKEN_BYTES: u64 = 4;
/// The time for which an engine is down after a request crashed it.
const CRASH_DOWNTIME: Duration = Duration::from_secs(5);
/// The shortest delay of the updates of an engine.
const MIN_UPDATE_DELAY: Duration = Duration::from_millis(200);
/// The range of the random addition to the delay of the updates of an engine.
const UPDATE_DELAY_SPREAD_MILLIS: u64 = 300;
/// The time after which a draining engine must not get new requests.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// The probability that an update is lost.
const UPDATE_LOSS: f64 = 0.01;

impl Environment {
    /// Creates the environment at the start of a trace.
    pub fn new(header: &Header) -> Self {
        let engines = Engines::new(header);
        let mut rng = Rng::with_seed(header.seed);
        let extra_millis = (0..engines.len()).map(|_| rng.u64(..UPDATE_DELAY_SPREAD_MILLIS));
        let update_delays = extra_millis
            .map(|d| MIN_UPDATE_DELAY + Duration::from_millis(d))
            .collect();
        let own = header.zones.first().map_or("", String::as_str);
        Self {
            now: Timestamp::ZERO,
            events: EventQueue::new(),
            engines,
            links: Links::new(ZoneId::new(own), Duration::from_micros(header.link_latency)),
            in_flight: BTreeMap::new(),
            tally: Tally::new(),
            platform: PlatformModel::new(),
            crosses_regions: !header.is_one_region(),
            update_delays,
            rng,
        }
    }

    /// Schedules an event after `time` from now.
    pub fn schedule(&mut self, time: Duration, event: ReplayEvent) {
        self.events.push(self.now + time, event);
    }

    /// Requests the snapshot of an engine's cache, which arrives there after the one-way latency.
    pub fn request_snapshot(&mut self, index: usize) {
        self.schedule(self.delay(index), ReplayEvent::SendSnapshot(index));
    }

    /// Returns the one-way latency to an engine.
    pub fn delay(&self, index: usize) -> Duration {
        self.links.delay(&self.engines.at(index).zone)
    }

    /// Returns whether the link to an engine is cut.
    pub fn is_cut(&self, index: usize) -> bool {
        self.links.is_cut(&self.engines.at(index).zone)
    }

    /// Schedules the failure of an attempt, which the entry notices after `time`.
    pub fn fail(&mut self, time: Duration, attempt: Attempt, kind: FailureKind, sent: SendState) {
        self.schedule(time, ReplayEvent::AttemptFailed(attempt, kind, sent));
    }

    /// Sends a request to an engine, or schedules the connect timeout if the link is cut.
    pub fn send_request(&mut self, dispatch: &Dispatch, index: usize, task: Task) {
        let attempt = dispatch.attempt;
        self.count_attempt(dispatch, index, &task);
        let in_flight = InFlightAttempt {
            attempt,
            engine: index,
            silent: false,
        };
        self.in_flight.insert(attempt.id, in_flight);
        if self.is_cut(index) {
            let kind = FailureKind::Unreachable;
            return self.fail(Links::CONNECT_TIMEOUT, attempt, kind, SendState::Unsent);
        }
        let transit = Transit {
            attempt,
            engine: index,
            incarnation: dispatch.incarnation,
            task,
        };
        self.schedule(self.delay(index), ReplayEvent::Delivered(Box::new(transit)));
    }

    /// Delivers a request to an engine, which starts or rejects it.
    pub fn deliver(&mut self, transit: Transit) {
        let Transit {
            attempt,
            engine: index,
            incarnation,
            task,
        } = transit;
        let delay = self.delay(index);
        let engine = self.engines.at(index);
        if !engine.up {
            let kind = FailureKind::Unreachable;
            return self.fail(delay, attempt, kind, SendState::Unsent);
        }
        let same = incarnation.is_none_or(|i| i == engine.incarnation);
        if !same || !engine.accepts_weights(task.weights) {
            let kind = FailureKind::Mismatch;
            return self.fail(delay, attempt, kind, SendState::Rejected);
        }
        self.count_run(attempt, index, &task);
        self.engines.at_mut(index).push(task);
        self.begin_step(index);
    }

    /// Starts a task of another entry if the engine accepts its weights version.
    pub fn start_peer_task(&mut self, index: usize, task: Task) {
        let engine = self.engines.at_mut(index);
        if engine.accepts_weights(task.weights) {
            engine.push(task);
            self.begin_step(index);
        }
    }

    /// Ends a step of an engine, unless the engine has crashed since the step started.
    pub fn end_step(&mut self, index: usize, incarnation: Incarnation) {
        let engine = self.engines.at_mut(index);
        if engine.incarnation != incarnation {
            return;
        }
        let mut tokens = Vec::new();
        if engine.end_step(&mut tokens) {
            self.tally.poison_crashes += 1;
            return self.crash(index, CRASH_DOWNTIME);
        }
        for token in tokens {
            self.forward_token(index, token);
        }
        self.begin_step(index);
    }

    /// Crashes an engine, which restarts with an empty cache after `down`.
    pub fn crash(&mut self, index: usize, down: Duration) {
        let delay = self.delay(index);
        let is_cut = self.is_cut(index);
        let tasks = self.engines.at_mut(index).crash();
        for task in tasks {
            let Owner::Entry(attempt) = task.owner else {
                continue;
            };
            if !is_cut {
                let kind = FailureKind::Broken;
                self.fail(delay, attempt, kind, SendState::MaybeRun);
            }
        }
        self.schedule(down, ReplayEvent::EngineRestarted(index));
    }

    /// Starts the loading of weights at an engine.
    pub fn start_load(&mut self, index: usize, weights: WeightsVersion) {
        self.engines.at_mut(index).loading = true;
        let engine = self.engines.at(index);
        let time = engine.speed().load_time(self.engines.loading_count());
        let current = engine.incarnation;
        self.schedule(time, ReplayEvent::WeightsLoaded(index, current, weights));
    }

    /// Cuts the link to a zone. Attempts in flight to it fail at the read timeout.
    pub fn cut_zone(&mut self, zone: &ZoneId) {
        self.links.cut(zone.clone());
        let engines = &self.engines;
        let silent = self.in_flight.values_mut();
        let silent = silent.filter(|f| engines.at(f.engine).zone == *zone && !f.silent);
        let attempts: Vec<Attempt> = silent.map(mark_silent).collect();
        for attempt in attempts {
            let kind = FailureKind::Silent;
            self.fail(Links::READ_TIMEOUT, attempt, kind, SendState::MaybeRun);
        }
    }

    /// Sends an update of an engine, or a snapshot of its cache, to the entry. Some updates are
    /// lost.
    pub fn send_update(&mut self, index: usize, snapshot: bool) {
        let engine = self.engines.at_mut(index);
        if !engine.up {
            return;
        }
        let update = if snapshot {
            engine.snapshot()
        } else {
            engine.take_update()
        };
        let lost = self.rng.f64() < UPDATE_LOSS;
        if lost || self.is_cut(index) {
            self.tally.lost_updates += 1;
            return;
        }
        self.schedule_update(index, update);
    }

    /// Starts a step of an engine if it has tasks and no step is in progress.
    pub fn begin_step(&mut self, index: usize) {
        let engine = self.engines.at_mut(index);
        let incarnation = engine.incarnation;
        if let Some(time) = engine.begin_step() {
            self.schedule(time, ReplayEvent::StepEnded(index, incarnation));
        }
    }

    fn schedule_update(&mut self, index: usize, update: EngineUpdate) {
        let time = self.update_delays[index] + self.delay(index);
        self.schedule(time, ReplayEvent::UpdateReceived(Box::new(update)));
    }

    /// Forwards a token to the entry, unless its attempt is no longer in flight.
    fn forward_token(&mut self, index: usize, token: GeneratedToken) {
        let Owner::Entry(attempt) = token.owner else {
            return;
        };
        let (is_cut, delay) = (self.is_cut(index), self.delay(index));
        let at = self.now + delay;
        let Some(in_flight) = self.in_flight.get_mut(&attempt.id) else {
            return;
        };
        if in_flight.attempt != attempt || in_flight.silent || is_cut {
            return;
        }
        if let Some(log) = self.tally.log_mut(attempt.id.sequence()) {
            log.receive(token.position, at);
        }
        if token.first {
            self.tally.cached_tokens += token.cached;
            self.schedule(delay, ReplayEvent::FirstToken(attempt));
        }
        if token.done {
            let finish = Finish {
                attempt,
                cached: TokenCount::new(token.cached),
                output: TokenCount::new(token.position),
            };
            self.schedule(delay, ReplayEvent::AttemptFinished(finish));
        }
    }

    fn count_attempt(&mut self, dispatch: &Dispatch, index: usize, task: &Task) {
        let leaving = self.engines.at(index).leaving;
        let is_late = leaving.is_some_and(|at| self.now.since(at) > LEAVING_GRACE);
        let violations = &mut self.tally.violations;
        violations.late_dispatches += u64::from(is_late);
        violations.salt_mismatches += u64::from(dispatch.salt != task.prompt.salt());
        self.tally.count_attempt(dispatch.attempt.id.sequence());
    }

    fn count_run(&mut self, attempt: Attempt, index: usize, task: &Task) {
        let blocks = task.prompt.blocks();
        let prompt = task.prompt.tokens().get();
        let engine = self.engines.at(index);
        let cached = engine.cache.cached_tokens(blocks);
        let best = self.engines.best_cached(blocks, task.weights);
        let is_remote = self.crosses_regions && !self.links.is_local(&engine.zone);
        let tally = &mut self.tally;
        tally.prompt_tokens += prompt;
        tally.recomputed += best.saturating_sub(cached).get();
        if is_remote {
            tally.region_bytes += (prompt + task.output) * TOKEN_BYTES;
        }
        tally.count_run(attempt.id.sequence());
    }
}

/// Marks the connection of an attempt as silent and returns the attempt.
fn mark_silent(in_flight: &mut InFlightAttempt) -> Attempt {
    in_flight.silent = true;
    in_flight.attempt
}
