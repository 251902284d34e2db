//! The thread that lists and watches one kind of platform object, also across outages.

use std::cell::RefCell;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_core::site::EXPIRY_TIMEOUT;
use azureway_objects::ObjectApi;
use azureway_wire::object::{ObjectBody, ObjectList};
use azureway_wire::quarantine::QuarantineBody;
use flume::Sender;

use super::{RejectedObjects, SITE_CALL_TIMEOUT, SiteCodec, SiteKind, SiteUpdate};
use crate::clock::Clock;
use crate::zone::{ReadTimes, ZoneLink};

/// Watches one kind of platform object of a site and sends the decoded updates to the site duty.
#[derive(Debug)]
pub struct SiteWatcher<A, C> {
    pub(super) api: A,
    codec: C,
    pub(super) kind: SiteKind,
    updates: Sender<SiteUpdate>,
    pub(super) clock: Clock,
    pub(super) schedule: WatchSchedule,
    /// The time at which the current outage of the platform began.
    pub(super) lost: Option<Timestamp>,
    /// The version after which the last call asked for changes, or `None` if it asked for a list.
    pub(super) after: Option<u64>,
    pub(super) bound: ChangeBound,
    /// The times of the last answer.
    pub(super) times: ReadTimes,
    /// The answers to the watches of all kinds.
    pub(super) reports: Arc<Mutex<ReportTimes>>,
    pub(super) disturbances: DisturbanceMeter,
    /// The link to other entries, if the platform may be read through them.
    pub(super) zone: Option<ZoneLink>,
    /// The time until which another entry knew of every change, after the last call that failed here.
    pub(super) peer_until: Option<Timestamp>,
    rejected: RefCell<RejectedObjects>,
}

impl<A: ObjectApi, C: SiteCodec> SiteWatcher<A, C> {
    /// Creates the watcher of `kind`. The content of the first answer counts as having changed at
    /// `named_since` at the earliest.
    pub fn new(
        api: A,
        codec: C,
        kind: SiteKind,
        updates: Sender<SiteUpdate>,
        clock: Clock,
        schedule: WatchSchedule,
        named_since: Timestamp,
    ) -> Self {
        Self {
            api,
            codec,
            kind,
            updates,
            clock,
            schedule,
            lost: None,
            after: None,
            bound: ChangeBound::new(named_since),
            times: ReadTimes::default(),
            reports: Arc::default(),
            disturbances: DisturbanceMeter::new(SITE_CALL_TIMEOUT),
            zone: None,
            peer_until: None,
            rejected: RefCell::default(),
        }
    }

    /// Shares the times of answers with the watchers of the other kinds.
    #[must_use]
    pub fn with_reports(mut self, reports: Arc<Mutex<ReportTimes>>) -> Self {
        self.reports = reports;
        self
    }

    /// Sets the link to other entries.
    #[must_use]
    pub fn with_zone(mut self, zone: Option<ZoneLink>) -> Self {
        self.zone = zone;
        self
    }

    /// Runs until the site duty ends.
    pub fn run(mut self) {
        let kind = self.codec.kind(self.kind);
        loop {
            let mut started = self.clock.now();
            let (answer, wait) = match self.schedule.next(started) {
                WatchStep::Wait(until) => {
                    thread::park_timeout(until.since(started));
                    continue;
                }
                WatchStep::List => {
                    self.after = None;
                    (self.api.list(kind), Duration::ZERO)
                }
                WatchStep::Watch(after, wait) => {
                    self.after = Some(after);
                    if let Some((asked, changes)) = self.ask_zone(after) {
                        if !self.handle_changes(&changes, after, asked) {
                            return;
                        }
                        continue;
                    }
                    // A request to a reader that failed took its time.
                    started = self.clock.now();
                    (self.api.watch(kind, after, wait), wait)
                }
            };
            let call = AnsweredCall {
                started,
                wait,
                answered: self.clock.now(),
            };
            if !self.handle_answer(answer, &call) {
                return;
            }
        }
    }

    /// Handles an answer. Returns whether the site duty still receives updates.
    fn handle_answer(&mut self, answer: Result<ObjectList, Error>, call: &AnsweredCall) -> bool {
        let now = call.answered;
        match answer {
            Ok(list) => {
                self.record_recovery(now);
                self.log_lateness(call, list.objects.len());
                let since = self.bound.record(call, list.objects.len());
                self.times.since = since.max(self.reported_since(call, &list));
                self.times.until = self.bound.reported_until();
                self.record_report(call, &list);
                self.schedule.record_success(list.version, now);
                // A first list is no burst of changes.
                let changes = self.after.map_or(0, |_| list.objects.len());
                self.schedule.record_changes(changes);
                self.keep_for_zone(&list);
                self.send_disturbance() && self.send_updates(&list) && self.send_until()
            }
            Err(e) => {
                self.record_outage(&e, now);
                self.schedule.record_failure(e.kind(), now);
                self.disturbances.record_failure(e.kind(), call);
                let restored = e.kind() == ErrorKind::Restored;
                let lost = restored && self.kind == SiteKind::Quarantines;
                (!lost || self.send(SiteUpdate::QuarantinesLost)) && self.read_from_peer()
            }
        }
    }

    /// Keeps an answer of the platform for the other entries of the zone.
    fn keep_for_zone(&self, list: &ObjectList) {
        if let Some(zone) = &self.zone {
            zone.record(self.kind, self.api.era(), self.after, list, self.times);
        }
    }

    /// Logs an answer that took much longer than its call allows. What it reports is out of date.
    fn log_lateness(&self, call: &AnsweredCall, changes: usize) {
        if call.is_late() {
            log::warn!(
                step = "watch site", kind = self.kind.as_str(), late:? = call.lateness(), wait:? = call.wait,
                listed = self.after.is_none(), changes = changes; "the platform's answer was read late"
            );
        }
    }

    fn record_outage(&mut self, error: &Error, now: Timestamp) {
        if self.lost.is_none() {
            log::warn!(step = "watch site", kind = self.kind.as_str(), error:% = error; "the platform is lost");
            self.lost = Some(now);
        }
    }

    pub(super) fn record_recovery(&mut self, now: Timestamp) {
        if let Some(since) = self.lost.take() {
            let millis = u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
            // While another entry heard from the platform, no registration expired for want of it.
            let known = self.peer_until.take();
            let path = known.is_some_and(|until| now.since(until) < EXPIRY_TIMEOUT);
            log::info!(step = "watch site", kind = self.kind.as_str(), away_ms = millis, path_only = path; "the platform is back");
            if !path {
                self.times.recovered = Some(now);
            }
        }
    }

    pub(super) fn send_updates(&self, list: &ObjectList) -> bool {
        match self.kind {
            SiteKind::Servers if self.after.is_none() => {
                let objects = list.objects.iter().filter(|o| !o.deleted);
                let servers = objects.filter_map(|o| self.check(o, self.codec.server(o)));
                self.send(SiteUpdate::Servers(servers.collect(), self.times.recovered))
            }
            _ => list.objects.iter().all(|o| self.send_update(o)),
        }
    }

    /// Sends the disturbance that an answer ends, before the weights that were named meanwhile.
    fn send_disturbance(&mut self) -> bool {
        let ended = self.disturbances.record_success();
        let ended = ended.filter(|_| self.kind == SiteKind::Weights);
        ended.is_none_or(|d| self.send(SiteUpdate::Disturbed(d)))
    }

    fn send_update(&self, object: &ObjectBody) -> bool {
        if object.deleted {
            self.rejected.borrow_mut().remove(&object.name);
        }
        let removed = |recovered| SiteUpdate::Removed(ServerId::new(&object.name), recovered);
        let update = match self.kind {
            SiteKind::Servers if object.deleted => Some(removed(self.times.recovered)),
            // An object that cannot be decoded describes no usable server, so the server is removed
            // even if the previous version of the object was valid.
            SiteKind::Servers => {
                let was_rejected = self.rejected.borrow().contains(&object.name);
                match self.check(object, self.codec.server(object)) {
                    Some(server) => Some(SiteUpdate::Server(Box::new(server))),
                    None if was_rejected => None,
                    None => Some(removed(None)),
                }
            }
            SiteKind::Quarantines => self.quarantine_update(object),
            // Deleting a configuration or weights does not undo them.
            _ if object.deleted => None,
            SiteKind::Document => self
                .check(object, self.codec.document(object))
                .flatten()
                .map(|d| SiteUpdate::Document(Box::new(d))),
            SiteKind::Weights => self
                .check(object, self.codec.weights(object))
                .map(|named| SiteUpdate::Weights(named, self.times.since)),
        };
        update.is_none_or(|u| self.send(u))
    }

    /// Returns the update of a quarantined part. One that has expired is ignored.
    fn quarantine_update(&self, object: &ObjectBody) -> Option<SiteUpdate> {
        const STEP: Step = Step::new("read quarantine");
        if object.deleted {
            let part = object.name.parse();
            let part = part.map_err(|e| Error::new(ErrorKind::Protocol, STEP, e));
            let part = self.check(object, part)?;
            return Some(SiteUpdate::Quarantine(QuarantineChange::Removed(part)));
        }
        let body = serde_json::from_str::<QuarantineBody>(&object.value);
        let body = body.map_err(|e| Error::new(ErrorKind::Protocol, STEP, e));
        let record = body.and_then(|b| Ok((QuarantineRecord::try_from(&b)?, b.until)));
        let (record, until) = self.check(object, record)?;
        if until <= Clock::unix_seconds() {
            return None;
        }
        Some(SiteUpdate::Quarantine(QuarantineChange::Stored(record)))
    }

    /// Returns the decoded object, or logs the error unless the object is known to have it.
    fn check<T>(&self, object: &ObjectBody, decoded: Result<T, Error>) -> Option<T> {
        let mut rejected = self.rejected.borrow_mut();
        let name = object.name.as_str();
        match decoded {
            Ok(decoded) => {
                rejected.remove(name);
                Some(decoded)
            }
            Err(e) => {
                if rejected.insert(name, &e.to_string()) {
                    log::warn!(
                        step = "read site", kind = self.kind.as_str(), name = name,
                        revision = object.version, error:% = e; "an object cannot be decoded"
                    );
                }
                None
            }
        }
    }

    pub(super) fn send(&self, update: SiteUpdate) -> bool {
        self.updates.send(update).is_ok()
    }
}
