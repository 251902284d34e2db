//! Runs a core through a trace: the event loop of the replay.

use std::time::Duration;

use azureway_core::prelude::{
    Attempt, Dispatch, Event, Failure, FailureKind, Finish, Policy, Refusal, RequestId, Router,
    SendState, StreamPosition, Timestamp, WeightsVersion, ZoneId,
};

use super::{EngineUpdate, Environment, ReplayEvent, RequestFactory, RequestLog, Tally};
use crate::trace::{Incident, Record, Trace, TraceRequest};

/// The driver of a replay, which runs one core with a policy through a trace.
#[derive(Debug)]
pub struct ReplayDriver<'a, P> {
    trace: &'a Trace,
    router: Router<P>,
    pub(super) state: Environment,
    factory: RequestFactory<'a>,
    version: u64,
    epoch: u64,
    next_wakeup: Option<Timestamp>,
}

/// The number of entry instances in a zone. A fleet has 6 to 8 in three zones.
const ZONE_ENTRIES: u32 = 2;
/// The interval between two updates of an engine.
const PERIOD: Duration = Duration::from_millis(250);
/// The maximum time that a replay continues after the last record.
const MAX_TAIL: Duration = Duration::from_secs(300);

impl<'a, P: Policy + Default> ReplayDriver<'a, P> {
    /// Creates a driver at the start of a trace.
    pub fn new(trace: &'a Trace) -> Self {
        Self {
            trace,
            router: Router::new(trace.header.router_config(), P::default()),
            state: Environment::new(&trace.header),
            factory: RequestFactory::new(trace),
            version: 1,
            epoch: 1,
            next_wakeup: None,
        }
    }

    /// Replays the trace and returns the counts. `on_record` is called with the index of each
    /// record before it is handled.
    pub fn run(mut self, mut on_record: impl FnMut(usize)) -> Tally {
        self.configure();
        for index in 0..self.state.engines.len() {
            self.state.schedule(PERIOD, ReplayEvent::SendUpdate(index));
        }
        self.schedule_record(0);
        let end = self.trace.end() + MAX_TAIL;
        while let Some((at, event)) = self.state.events.pop() {
            if at > end {
                break;
            }
            self.state.now = at;
            if let ReplayEvent::Record(number) = event {
                on_record(number);
            }
            self.handle_event(event);
        }
        self.state.tally.count_unanswered();
        self.state.tally
    }

    fn handle_event(&mut self, event: ReplayEvent) {
        match event {
            ReplayEvent::Record(number) => self.handle_record(number),
            ReplayEvent::Delivered(transit) => self.state.deliver(*transit),
            ReplayEvent::StepEnded(index, incarnation) => self.state.end_step(index, incarnation),
            ReplayEvent::FirstToken(attempt) => self.handle(Event::Started(attempt)),
            ReplayEvent::AttemptFinished(finish) => self.finish(&finish),
            ReplayEvent::AttemptFailed(attempt, kind, sent) => self.fail(attempt, kind, sent),
            ReplayEvent::SendUpdate(index) => self.send_update(index),
            ReplayEvent::SendSnapshot(index) => self.state.send_update(index, true),
            ReplayEvent::UpdateReceived(update) => self.receive_update(&update),
            ReplayEvent::ClaimAnswered(outcome) => self.handle(Event::Claim(&outcome)),
            ReplayEvent::EngineRestarted(index) => self.state.engines.at_mut(index).up = true,
            ReplayEvent::WeightsLoaded(index, incarnation, weights) => {
                let engine = self.state.engines.at_mut(index);
                if engine.incarnation == incarnation {
                    engine.load(weights);
                }
            }
            ReplayEvent::Wakeup => {
                self.next_wakeup = None;
                self.handle(Event::Tick);
            }
        }
    }

    fn schedule_record(&mut self, number: usize) {
        if let Some((at, _)) = self.trace.records.get(number) {
            let at = Timestamp::from_millis(*at);
            self.state.events.push(at, ReplayEvent::Record(number));
        }
    }

    fn handle_record(&mut self, number: usize) {
        self.schedule_record(number + 1);
        let trace = self.trace;
        let Some((_, record)) = trace.records.get(number) else {
            return;
        };
        match record {
            Record::Request(request) => self.submit(request, number as u64),
            Record::PeerRequest(recorded) => {
                let task = self.factory.peer_task(&recorded.request, number as u64);
                if let Some(index) = self.state.engines.index_of(&recorded.server) {
                    self.state.start_peer_task(index, task);
                }
            }
            Record::Incident(incident) => self.apply_incident(incident),
        }
    }

    fn submit(&mut self, record: &TraceRequest, sequence: u64) {
        let now = self.state.now;
        let request = self.factory.new_request(record, self.epoch, sequence, now);
        let log = RequestLog::new(record, request.prompt.tokens().get(), now);
        self.state.tally.logs.insert(sequence, log);
        self.handle(Event::Arrived(&request));
    }

    fn apply_incident(&mut self, incident: &Incident) {
        let index_of = |id: &String| self.state.engines.index_of(id).unwrap_or_default();
        match incident {
            Incident::Crash(server, millis) => {
                let down = Duration::from_millis(*millis);
                self.state.crash(index_of(server), down);
            }
            Incident::Leave(server) => {
                let index = index_of(server);
                let now = self.state.now;
                self.state.engines.at_mut(index).leaving = Some(now);
            }
            Incident::Load(server, version) => {
                let weights = WeightsVersion::new(*version);
                self.state.start_load(index_of(server), weights);
            }
            Incident::Weights(version) => {
                self.factory.weights = WeightsVersion::new(*version);
                self.version += 1;
                self.configure();
            }
            Incident::Restart => self.restart(),
            Incident::Cut(zone) => self.state.cut_zone(&ZoneId::new(zone)),
            Incident::Heal(zone) => self.state.links.heal(&ZoneId::new(zone)),
            Incident::PlatformDown => self.state.platform.is_down = true,
            Incident::PlatformUp => self.state.platform.is_down = false,
        }
    }

    fn configure(&mut self) {
        let fleet = self.trace.header.fleet(self.version, self.factory.weights);
        self.handle(Event::Configured(&fleet));
        self.handle(Event::ZoneEntries(ZONE_ENTRIES));
    }

    /// Restarts the entry, which loses its state and its connections.
    fn restart(&mut self) {
        for in_flight in std::mem::take(&mut self.state.in_flight).into_values() {
            let engine = self.state.engines.at_mut(in_flight.engine);
            engine.cancel(in_flight.attempt);
        }
        let logs = self.state.tally.logs.values_mut();
        let open = logs.filter(|log| !log.is_answered());
        open.for_each(|log| log.dropped = true);
        self.epoch += 1;
        self.next_wakeup = None;
        self.router = Router::new(self.trace.header.router_config(), P::default());
        self.configure();
    }

    fn send_update(&mut self, index: usize) {
        self.state.send_update(index, false);
        let active = self.router.active() > 0 || !self.state.in_flight.is_empty();
        if active || self.state.now <= self.trace.end() {
            self.state.schedule(PERIOD, ReplayEvent::SendUpdate(index));
        }
    }

    fn receive_update(&mut self, update: &EngineUpdate) {
        self.handle(Event::Load(&update.load));
        self.handle(Event::Cache(&update.cache_update()));
    }

    fn finish(&mut self, finish: &Finish) {
        let id = finish.attempt.id;
        let current = self.state.in_flight.get(&id);
        if current.is_some_and(|f| f.attempt == finish.attempt) {
            self.state.in_flight.remove(&id);
            let tally = &mut self.state.tally;
            if let Some(log) = tally.logs.get_mut(&id.sequence()) {
                log.finished = true;
                tally.violations.wrong_lengths += u64::from(log.received != log.output);
            }
        }
        self.handle(Event::Finished(finish));
    }

    fn fail(&mut self, attempt: Attempt, kind: FailureKind, sent: SendState) {
        let current = self.state.in_flight.get(&attempt.id);
        if current.is_none_or(|f| f.attempt != attempt) {
            return;
        }
        self.state.in_flight.remove(&attempt.id);
        let log = self.state.tally.log_mut(attempt.id.sequence());
        let failure = Failure {
            attempt,
            kind,
            sent,
            position: StreamPosition::new(log.map_or(0, |log| log.received)),
        };
        self.handle(Event::Failed(&failure));
    }

    /// Passes an event to the core and carries out the resulting actions.
    fn handle(&mut self, event: Event<'_>) {
        let mut actions = Vec::new();
        self.router.handle(event, self.state.now, &mut actions);
        for action in actions {
            self.apply(action);
        }
        self.schedule_wakeup();
    }

    fn schedule_wakeup(&mut self) {
        let Some(at) = self.router.next_wakeup() else {
            return;
        };
        // One microsecond is added because a deadline has passed only when the clock is beyond it.
        let at = at.max(self.state.now) + Duration::from_micros(1);
        if self.next_wakeup.is_none_or(|w| at < w) {
            self.next_wakeup = Some(at);
            self.state.events.push(at, ReplayEvent::Wakeup);
        }
    }

    pub(super) fn refuse(&mut self, id: RequestId, refusal: Refusal) {
        self.state.in_flight.remove(&id);
        let tally = &mut self.state.tally;
        if let Some(log) = tally.logs.get_mut(&id.sequence()) {
            tally.violations.false_refusals += u64::from(refusal.not_run && log.runs > 0);
            log.refusal = Some(refusal);
        }
    }

    pub(super) fn dispatch(&mut self, dispatch: &Dispatch) {
        let index = self.state.engines.index_of(dispatch.server.as_str());
        let task = self.factory.dispatched_task(dispatch);
        if let (Some(index), Some(task)) = (index, task) {
            self.state.send_request(dispatch, index, task);
        }
    }
}
