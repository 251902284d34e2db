//! Watching one kind of objects of a site.

use std::thread;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_objects::ObjectApi;
use azureway_wire::object::{ObjectBody, ObjectList};
use flume::Sender;

use super::{SiteCodec, SiteKind, SiteNews};
use crate::clock::Clock;

/// Watches one kind of objects of a site and passes on what it reads.
#[derive(Debug)]
pub struct SiteWatcher<A, C> {
    api: A,
    codec: C,
    kind: SiteKind,
    news: Sender<SiteNews>,
    clock: Clock,
    plan: WatchSchedule,
    /// Since when the platform cannot be asked.
    away: Option<Timestamp>,
    /// When the platform was last back.
    back: Option<Timestamp>,
    listed: bool,
    /// When the platform last answered.
    answered: Timestamp,
    /// The earliest time at which what the last answer tells can have happened.
    since: Timestamp,
}

impl<A: ObjectApi, C: SiteCodec> SiteWatcher<A, C> {
    /// Creates the duty of a kind. What the first answer tells counts as having happened at
    /// `first` at the earliest.
    pub fn new(
        api: A,
        codec: C,
        kind: SiteKind,
        news: Sender<SiteNews>,
        clock: Clock,
        plan: WatchSchedule,
        first: Timestamp,
    ) -> Self {
        Self {
            api,
            codec,
            kind,
            news,
            clock,
            plan,
            away: None,
            back: None,
            listed: false,
            answered: first,
            since: first,
        }
    }

    /// Runs for as long as the process does.
    pub fn run(mut self) {
        let kind = self.codec.kind(self.kind);
        loop {
            let asked = self.clock.now();
            let answer = match self.plan.next(self.clock.now()) {
                WatchStep::Wait(until) => {
                    thread::park_timeout(until.since(self.clock.now()));
                    continue;
                }
                WatchStep::List => {
                    self.listed = true;
                    self.api.list(kind)
                }
                WatchStep::Watch(after, wait) => {
                    self.listed = false;
                    self.api.watch(kind, after, wait)
                }
            };
            let now = self.clock.now();
            // A watch that had to wait has told of a change at once.
            let waited = !self.listed && now.since(asked) > WAITED;
            self.since = if waited { now } else { self.answered };
            if !self.take(answer, now) {
                return;
            }
        }
    }

    /// Takes in an answer. Returns whether anybody still hears the news.
    fn take(&mut self, answer: Result<ObjectList, Error>, now: Timestamp) -> bool {
        match answer {
            Ok(list) => {
                self.note_back(now);
                self.answered = now;
                self.plan.record_success(list.version, now);
                self.pass_on(&list)
            }
            Err(e) => {
                self.note_away(&e, now);
                self.plan.record_failure(e.kind(), now);
                true
            }
        }
    }

    fn note_away(&mut self, error: &Error, now: Timestamp) {
        if self.away.is_none() {
            log::warn!(step = "watch site", kind = self.kind.as_str(), error:% = error; "the platform is lost");
            self.away = Some(now);
        }
    }

    fn note_back(&mut self, now: Timestamp) {
        if let Some(since) = self.away.take() {
            let millis = u64::try_from(now.since(since).as_millis()).unwrap_or(u64::MAX);
            log::info!(step = "watch site", kind = self.kind.as_str(), away_ms = millis; "the platform is back");
            self.back = Some(now);
        }
    }

    fn pass_on(&self, list: &ObjectList) -> bool {
        match self.kind {
            SiteKind::Servers if self.listed => {
                let entries = list.objects.iter().filter(|o| !o.deleted);
                let entries = entries.filter_map(|o| self.read(o, self.codec.server(o)));
                self.tell(SiteNews::Servers(entries.collect(), self.back))
            }
            _ => list.objects.iter().all(|o| self.pass_one(o)),
        }
    }

    fn pass_one(&self, object: &ObjectBody) -> bool {
        let news = match self.kind {
            SiteKind::Servers if object.deleted => {
                Some(SiteNews::Gone(ServerId::new(&object.name), self.back))
            }
            // What cannot be read names no server to use, whatever stood there before.
            SiteKind::Servers => Some(self.read(object, self.codec.server(object)).map_or_else(
                || SiteNews::Gone(ServerId::new(&object.name), None),
                |entry| SiteNews::Server(Box::new(entry)),
            )),
            // Neither a configuration nor weights are ever taken back.
            _ if object.deleted => None,
            SiteKind::Document => self
                .read(object, self.codec.document(object))
                .flatten()
                .map(|d| SiteNews::Document(Box::new(d))),
            SiteKind::Weights => self
                .read(object, self.codec.weights(object))
                .map(|named| SiteNews::Weights(named, self.since)),
        };
        news.is_none_or(|n| self.tell(n))
    }

    fn read<T>(&self, object: &ObjectBody, read: Result<T, Error>) -> Option<T> {
        read.inspect_err(|e| {
            log::warn!(
                step = "read site", kind = self.kind.as_str(), name = object.name.as_str(),
                revision = object.version, error:% = e; "an object is not understood"
            );
        })
        .ok()
    }

    fn tell(&self, news: SiteNews) -> bool {
        self.news.send(news).is_ok()
    }
}

/// The time of a call beyond which it has waited for a change.
const WAITED: Duration = Duration::from_millis(100);
/// How long the platform keeps a watch of a site that has no news: a connection that goes
/// silent is then noticed within the time that a change may take.
pub const SITE_WAIT: Duration = Duration::from_secs(2);
