//! Everything in a replay but the core.

use std::collections::BTreeMap;
use std::time::Duration;

use azureway_core::prelude::{
    Attempt, Dispatch, FailureKind, Finish, Incarnation, RequestId, SendState, Timestamp,
    TokenCount, WeightsVersion, ZoneId,
};
use fastrand::Rng;

use super::{
    Engines, EventQueue, GeneratedToken, InFlightView, Links, News, Owner, PlatformModel,
    ReplayEvent, Tally, Task, Transit,
};
use crate::trace::Header;

/// Everything in a replay but the core: the clock, the engines, the links and the tally.
#[derive(Debug)]
pub struct Environment {
    /// The virtual time.
    pub now: Timestamp,
    /// What is to happen.
    pub agenda: EventQueue,
    /// The engines.
    pub engines: Engines,
    /// The links.
    pub links: Links,
    /// The tries that are under way.
    pub flights: BTreeMap<RequestId, InFlightView>,
    /// What is counted.
    pub tally: Tally,
    /// The platform.
    pub platform: PlatformModel,
    paid: bool,
    lags: Vec<Duration>,
    rng: Rng,
}

/// The bytes of a token on a link.
const TOKEN_BYTES: u64 = 4;
/// The time that a crashed engine stays away after a request crashed it.
const RESTART: Duration = Duration::from_secs(5);
/// The least time by which an engine's news is late.
const LAG_MIN: Duration = Duration::from_millis(200);
/// The most time by which an engine's news is later than the least.
const LAG_SPREAD_MILLIS: u64 = 300;
/// The time after which an engine that is leaving gets no new work.
const LEAVE_LIMIT: Duration = Duration::from_secs(3);
/// The share of news that is lost on its way.
const LOSS: f64 = 0.01;

impl Environment {
    /// Creates the scene at the start of a trace.
    pub fn new(header: &Header) -> Self {
        let engines = Engines::new(header);
        let mut rng = Rng::with_seed(header.seed);
        let draws = (0..engines.len()).map(|_| rng.u64(..LAG_SPREAD_MILLIS));
        let lags = draws.map(|d| LAG_MIN + Duration::from_millis(d)).collect();
        let home = header.zones.first().map_or("", String::as_str);
        Self {
            now: Timestamp::ZERO,
            agenda: EventQueue::new(),
            engines,
            links: Links::new(ZoneId::new(home), Duration::from_micros(header.link)),
            flights: BTreeMap::new(),
            tally: Tally::new(),
            platform: PlatformModel::new(),
            paid: !header.is_one_region(),
            lags,
            rng,
        }
    }

    /// Enters what is to happen after `time`.
    pub fn after(&mut self, time: Duration, happening: ReplayEvent) {
        self.agenda.push(self.now + time, happening);
    }

    /// Returns the time one way to an engine.
    pub fn delay(&self, place: usize) -> Duration {
        self.links.delay(&self.engines.at(place).zone)
    }

    /// Tells whether an engine is cut off from the entry.
    pub fn is_cut(&self, place: usize) -> bool {
        self.links.is_cut(&self.engines.at(place).zone)
    }

    /// Lets the entry notice after `time` that a try failed.
    pub fn fail(&mut self, time: Duration, attempt: Attempt, kind: FailureKind, sent: SendState) {
        self.after(time, ReplayEvent::Failed(attempt, kind, sent));
    }

    /// Sends a request on its way to an engine.
    pub fn depart(&mut self, order: &Dispatch, place: usize, task: Task) {
        let attempt = order.attempt;
        self.count_try(order, place, &task);
        let flight = InFlightView {
            attempt,
            engine: place,
            silent: false,
        };
        self.flights.insert(attempt.id, flight);
        if self.is_cut(place) {
            let kind = FailureKind::Unreachable;
            return self.fail(Links::CONNECT_LIMIT, attempt, kind, SendState::Unsent);
        }
        let cargo = Transit {
            attempt,
            engine: place,
            incarnation: order.incarnation,
            task,
        };
        self.after(self.delay(place), ReplayEvent::Reach(Box::new(cargo)));
    }

    /// Hands a request to the engine that it has reached.
    pub fn reach(&mut self, cargo: Transit) {
        let Transit {
            attempt,
            engine: place,
            incarnation,
            task,
        } = cargo;
        let delay = self.delay(place);
        let engine = self.engines.at(place);
        if !engine.up {
            let kind = FailureKind::Unreachable;
            return self.fail(delay, attempt, kind, SendState::Unsent);
        }
        let same = incarnation.is_none_or(|i| i == engine.incarnation);
        if !same || !engine.accepts_weights(task.weights) {
            let kind = FailureKind::Mismatch;
            return self.fail(delay, attempt, kind, SendState::Rejected);
        }
        self.count_run(attempt, place, &task);
        self.engines.at_mut(place).push(task);
        self.begin(place);
    }

    /// Gives an engine a task of another entry.
    pub fn place_other(&mut self, place: usize, task: Task) {
        let engine = self.engines.at_mut(place);
        if engine.accepts_weights(task.weights) {
            engine.push(task);
            self.begin(place);
        }
    }

    /// Ends a step of an engine.
    pub fn step(&mut self, place: usize, incarnation: Incarnation) {
        let engine = self.engines.at_mut(place);
        if engine.incarnation != incarnation {
            return;
        }
        let mut tokens = Vec::new();
        if engine.end_step(&mut tokens) {
            self.tally.poisoned += 1;
            return self.crash(place, RESTART);
        }
        for token in tokens {
            self.pass_on(place, token);
        }
        self.begin(place);
    }

    /// Crashes an engine, which comes back empty after `down`.
    pub fn crash(&mut self, place: usize, down: Duration) {
        let delay = self.delay(place);
        let cut = self.is_cut(place);
        let tasks = self.engines.at_mut(place).crash();
        for task in tasks {
            let Owner::Entry(attempt) = task.owner else {
                continue;
            };
            if !cut {
                let kind = FailureKind::Broken;
                self.fail(delay, attempt, kind, SendState::MaybeRun);
            }
        }
        self.after(down, ReplayEvent::Return(place));
    }

    /// Lets an engine load weights.
    pub fn load(&mut self, place: usize, weights: WeightsVersion) {
        self.engines.at_mut(place).loading = true;
        let engine = self.engines.at(place);
        let time = engine.speed().load_time(self.engines.loading());
        let incarnation = engine.incarnation;
        self.after(time, ReplayEvent::Loaded(place, incarnation, weights));
    }

    /// Cuts a zone off: the connections to it go silent.
    pub fn cut(&mut self, zone: &ZoneId) {
        self.links.cut(zone.clone());
        let engines = &self.engines;
        let silent = self.flights.values_mut();
        let silent = silent.filter(|f| engines.at(f.engine).zone == *zone && !f.silent);
        let attempts: Vec<Attempt> = silent.map(hush).collect();
        for attempt in attempts {
            let kind = FailureKind::Silent;
            self.fail(Links::READ_LIMIT, attempt, kind, SendState::MaybeRun);
        }
    }

    /// Sends an engine's news to the entry, or its whole content.
    pub fn tell(&mut self, place: usize, whole: bool) {
        let engine = self.engines.at_mut(place);
        if !engine.up {
            return;
        }
        let news = if whole {
            engine.content()
        } else {
            engine.news()
        };
        let lost = self.rng.f64() < LOSS;
        if lost || self.is_cut(place) {
            self.tally.lost += 1;
            return;
        }
        self.send_news(place, news);
    }

    /// Begins a step of an engine if it has something to do.
    pub fn begin(&mut self, place: usize) {
        let engine = self.engines.at_mut(place);
        let incarnation = engine.incarnation;
        if let Some(time) = engine.begin_step() {
            self.after(time, ReplayEvent::Step(place, incarnation));
        }
    }

    fn send_news(&mut self, place: usize, news: News) {
        let time = self.lags[place] + self.delay(place);
        self.after(time, ReplayEvent::Hear(Box::new(news)));
    }

    /// Passes a token on to the entry.
    fn pass_on(&mut self, place: usize, token: GeneratedToken) {
        let Owner::Entry(attempt) = token.owner else {
            return;
        };
        let (cut, delay) = (self.is_cut(place), self.delay(place));
        let at = self.now + delay;
        let Some(flight) = self.flights.get_mut(&attempt.id) else {
            return;
        };
        if flight.attempt != attempt || flight.silent || cut {
            return;
        }
        if let Some(story) = self.tally.story(attempt.id.sequence()) {
            story.receive(token.position, at);
        }
        if token.first {
            self.tally.cached += token.cached;
            self.after(delay, ReplayEvent::Started(attempt));
        }
        if token.done {
            let finish = Finish {
                attempt,
                cached: TokenCount::new(token.cached),
                output: TokenCount::new(token.position),
            };
            self.after(delay, ReplayEvent::Finished(finish));
        }
    }

    fn count_try(&mut self, order: &Dispatch, place: usize, task: &Task) {
        let left = self.engines.at(place).leaving;
        let late = left.is_some_and(|at| self.now.since(at) > LEAVE_LIMIT);
        let promises = &mut self.tally.promises;
        promises.leaving += u64::from(late);
        promises.mixed += u64::from(order.salt != task.chain.salt());
        self.tally.count_try(order.attempt.id.sequence());
    }

    fn count_run(&mut self, attempt: Attempt, place: usize, task: &Task) {
        let blocks = task.chain.blocks();
        let prompt = task.chain.tokens().get();
        let engine = self.engines.at(place);
        let held = engine.cache.held(blocks);
        let best = self.engines.best_held(blocks, task.weights);
        let across = self.paid && !self.links.is_home(&engine.zone);
        let tally = &mut self.tally;
        tally.prompt += prompt;
        tally.wasted += best.saturating_sub(held).get();
        if across {
            tally.crossed += (prompt + task.output) * TOKEN_BYTES;
        }
        tally.count_run(attempt.id.sequence());
    }
}

/// Marks a connection as silent.
fn hush(flight: &mut InFlightView) -> Attempt {
    flight.silent = true;
    flight.attempt
}
