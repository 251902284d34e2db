//! The driver of a replay.

use std::time::Duration;

use azureway_core::prelude::{
    Action, Attempt, Dispatch, Event, Failure, FailureKind, Finish, Policy, Refusal, RequestId,
    Router, SendState, StreamPosition, Timestamp, WeightsVersion, ZoneId,
};

use super::{Environment, News, ReplayEvent, RequestLog, Requests, Tally};
use crate::trace::{Ask, Incident, Record, Trace};

/// The driver of a replay: it drives one core with a policy through a trace.
#[derive(Debug)]
pub struct ReplayDriver<'a, P> {
    trace: &'a Trace,
    router: Router<P>,
    scene: Environment,
    requests: Requests<'a>,
    version: u64,
    epoch: u64,
    wake: Option<Timestamp>,
}

/// The entry instances of a zone: 6 to 8 stand in three zones.
const ENTRIES: u32 = 2;
/// The time between two news of an engine.
const NEWS_INTERVAL: Duration = Duration::from_millis(250);
/// The time after the last record at which a replay ends at the latest.
const TAIL: Duration = Duration::from_secs(300);

impl<'a, P: Policy + Default> ReplayDriver<'a, P> {
    /// Creates the driver at the start of a trace.
    pub fn new(trace: &'a Trace) -> Self {
        Self {
            trace,
            router: Router::new(trace.header.router(), P::default()),
            scene: Environment::new(&trace.header),
            requests: Requests::new(trace),
            version: 1,
            epoch: 1,
            wake: None,
        }
    }

    /// Plays the trace to its end and returns what was counted. `tell` is told the number of
    /// each record before it is played.
    pub fn play(mut self, mut tell: impl FnMut(usize)) -> Tally {
        self.configure();
        for place in 0..self.scene.engines.len() {
            self.scene.after(NEWS_INTERVAL, ReplayEvent::Tell(place));
        }
        self.schedule(0);
        let end = self.trace.end() + TAIL;
        while let Some((at, happening)) = self.scene.agenda.pop() {
            if at > end {
                break;
            }
            self.scene.now = at;
            if let ReplayEvent::Record(number) = happening {
                tell(number);
            }
            self.happen(happening);
        }
        self.scene.tally.close();
        self.scene.tally
    }

    fn happen(&mut self, happening: ReplayEvent) {
        match happening {
            ReplayEvent::Record(number) => self.record(number),
            ReplayEvent::Reach(cargo) => self.scene.reach(*cargo),
            ReplayEvent::Step(place, incarnation) => self.scene.step(place, incarnation),
            ReplayEvent::Started(attempt) => self.tell_core(Event::Started(attempt)),
            ReplayEvent::Finished(finish) => self.finish(&finish),
            ReplayEvent::Failed(attempt, kind, sent) => self.fail(attempt, kind, sent),
            ReplayEvent::Tell(place) => self.collect(place),
            ReplayEvent::Content(place) => self.scene.tell(place, true),
            ReplayEvent::Hear(news) => self.hear(&news),
            ReplayEvent::Claim(news) => self.tell_core(Event::Claim(&news)),
            ReplayEvent::Return(place) => self.scene.engines.at_mut(place).up = true,
            ReplayEvent::Loaded(place, incarnation, weights) => {
                let engine = self.scene.engines.at_mut(place);
                if engine.incarnation == incarnation {
                    engine.load(weights);
                }
            }
            ReplayEvent::Wake => {
                self.wake = None;
                self.tell_core(Event::Tick);
            }
        }
    }

    fn schedule(&mut self, number: usize) {
        if let Some((at, _)) = self.trace.records.get(number) {
            let at = Timestamp::from_millis(*at);
            self.scene.agenda.push(at, ReplayEvent::Record(number));
        }
    }

    fn record(&mut self, number: usize) {
        self.schedule(number + 1);
        let trace = self.trace;
        let Some((_, record)) = trace.records.get(number) else {
            return;
        };
        match record {
            Record::Ask(ask) => self.ask(ask, number as u64),
            Record::Other(other) => {
                let task = self.requests.task(&other.ask, number as u64);
                if let Some(place) = self.scene.engines.place(&other.server) {
                    self.scene.place_other(place, task);
                }
            }
            Record::Incident(incident) => self.befall(incident),
        }
    }

    fn ask(&mut self, ask: &Ask, sequence: u64) {
        let now = self.scene.now;
        let request = self.requests.make(ask, self.epoch, sequence, now);
        let story = RequestLog::new(ask, request.chain.tokens().get(), now);
        self.scene.tally.stories.insert(sequence, story);
        self.tell_core(Event::Arrived(&request));
    }

    fn befall(&mut self, incident: &Incident) {
        let place = |id: &String| self.scene.engines.place(id).unwrap_or_default();
        match incident {
            Incident::Crash(server, millis) => {
                let down = Duration::from_millis(*millis);
                self.scene.crash(place(server), down);
            }
            Incident::Leave(server) => {
                let place = place(server);
                let now = self.scene.now;
                self.scene.engines.at_mut(place).leaving = Some(now);
            }
            Incident::Load(server, version) => {
                let weights = WeightsVersion::new(*version);
                self.scene.load(place(server), weights);
            }
            Incident::Weights(version) => {
                self.requests.weights = WeightsVersion::new(*version);
                self.version += 1;
                self.configure();
            }
            Incident::Restart => self.restart(),
            Incident::Cut(zone) => self.scene.cut(&ZoneId::new(zone)),
            Incident::Heal(zone) => self.scene.links.heal(&ZoneId::new(zone)),
            Incident::PlatformDown => self.scene.platform.away = true,
            Incident::PlatformUp => self.scene.platform.away = false,
        }
    }

    fn configure(&mut self) {
        let fleet = self.trace.header.fleet(self.version, self.requests.weights);
        self.tell_core(Event::Configured(&fleet));
        self.tell_core(Event::ZoneEntries(ENTRIES));
    }

    /// Starts the entry anew: what it knew is gone, and its connections break.
    fn restart(&mut self) {
        for flight in std::mem::take(&mut self.scene.flights).into_values() {
            let engine = self.scene.engines.at_mut(flight.engine);
            engine.cancel(flight.attempt);
        }
        let stories = self.scene.tally.stories.values_mut();
        let open = stories.filter(|s| !s.is_answered());
        open.for_each(|s| s.dropped = true);
        self.epoch += 1;
        self.wake = None;
        self.router = Router::new(self.trace.header.router(), P::default());
        self.configure();
    }

    fn collect(&mut self, place: usize) {
        self.scene.tell(place, false);
        let active = self.router.active() > 0 || !self.scene.flights.is_empty();
        if active || self.scene.now <= self.trace.end() {
            self.scene.after(NEWS_INTERVAL, ReplayEvent::Tell(place));
        }
    }

    fn hear(&mut self, news: &News) {
        self.tell_core(Event::Load(&news.load));
        self.tell_core(Event::Cache(&news.update()));
    }

    fn finish(&mut self, finish: &Finish) {
        let id = finish.attempt.id;
        let current = self.scene.flights.get(&id);
        if current.is_some_and(|f| f.attempt == finish.attempt) {
            self.scene.flights.remove(&id);
            let tally = &mut self.scene.tally;
            if let Some(story) = tally.stories.get_mut(&id.sequence()) {
                story.finished = true;
                tally.promises.holes += u64::from(story.received != story.output);
            }
        }
        self.tell_core(Event::Finished(finish));
    }

    fn fail(&mut self, attempt: Attempt, kind: FailureKind, sent: SendState) {
        let current = self.scene.flights.get(&attempt.id);
        if current.is_none_or(|f| f.attempt != attempt) {
            return;
        }
        self.scene.flights.remove(&attempt.id);
        let story = self.scene.tally.story(attempt.id.sequence());
        let failure = Failure {
            attempt,
            kind,
            sent,
            position: StreamPosition::new(story.map_or(0, |s| s.received)),
        };
        self.tell_core(Event::Failed(&failure));
    }

    /// Tells the core an event and does what it wants done.
    fn tell_core(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.router.handle(event, self.scene.now, &mut actions);
        for action in actions {
            self.act(action);
        }
        self.set_wake();
    }

    fn set_wake(&mut self) {
        let Some(at) = self.router.next_wakeup() else {
            return;
        };
        // A deadline is past one tick of the clock after it.
        let at = at.max(self.scene.now) + Duration::from_micros(1);
        if self.wake.is_none_or(|w| at < w) {
            self.wake = Some(at);
            self.scene.agenda.push(at, ReplayEvent::Wake);
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Dispatch(order) => self.dispatch(&order),
            Action::Refuse(id, refusal) => self.refuse(id, refusal),
            Action::Cancel(attempt) => {
                if let Some(flight) = self.scene.flights.remove(&attempt.id) {
                    self.scene.engines.at_mut(flight.engine).cancel(attempt);
                }
            }
            Action::Claim(call) => {
                let (time, news) = self.scene.platform.answer(&call);
                self.scene.after(time, ReplayEvent::Claim(news));
            }
            // No request of a trace is sent again with its key, and the entries of a replay
            // do not talk to one another.
            Action::ReplayAnswer(..) | Action::BroadcastServer(_) | Action::BroadcastStrike(_) => {}
            Action::Resync(server) => {
                if let Some(place) = self.scene.engines.place(server.as_str()) {
                    let delay = self.scene.delay(place);
                    self.scene.after(delay, ReplayEvent::Content(place));
                }
            }
        }
    }

    fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        self.scene.flights.remove(&id);
        let tally = &mut self.scene.tally;
        if let Some(story) = tally.stories.get_mut(&id.sequence()) {
            tally.promises.untrue += u64::from(refusal.not_run && story.runs > 0);
            story.refused = Some(refusal);
        }
    }

    fn dispatch(&mut self, order: &Dispatch) {
        let place = self.scene.engines.place(order.server.as_str());
        let task = self.requests.ordered(order);
        if let (Some(place), Some(task)) = (place, task) {
            self.scene.depart(order, place, task);
        }
    }
}
