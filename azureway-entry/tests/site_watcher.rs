//! Tests of how the watcher of a site dates what the platform reports.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::clock::Clock;
use azureway_entry::site::{SiteCodec, SiteKind, SiteUpdate, SiteWatcher};
use azureway_objects::{ObjectApi, Put};
use azureway_wire::object::{ObjectBody, ObjectList};
use googletest::prelude::*;

/// The time for which a held-up answer is on its way.
const HOLD_UP: Duration = Duration::from_millis(200);

/// An answer of the scripted platform: the versions of the object that it reports, and how long it
/// takes.
type Answer = (&'static [u64], Duration);

/// The versions of an answer that is an error.
const UNAVAILABLE: &[u64] = &[0];

/// A platform that gives its scripted answers in order and records when each call was sent. Then it
/// reports the same object again and again.
#[derive(Clone)]
struct ScriptedPlatform {
    answers: Arc<Mutex<VecDeque<Answer>>>,
    started: Arc<Mutex<Vec<Timestamp>>>,
    clock: Clock,
}

impl ScriptedPlatform {
    fn new(answers: &[Answer], clock: Clock) -> Self {
        Self {
            answers: Arc::new(Mutex::new(answers.iter().copied().collect())),
            started: Arc::default(),
            clock,
        }
    }

    fn call(&self) -> std::result::Result<ObjectList, Error> {
        self.started
            .lock()
            .expect("the lock")
            .push(self.clock.now());
        let answer = self.answers.lock().expect("the lock").pop_front();
        let (versions, delay) = answer.unwrap_or((&[1], Duration::ZERO));
        thread::sleep(delay);
        if versions == UNAVAILABLE {
            let step = Step::new("list objects");
            return Err(Error::new(ErrorKind::Unavailable, step, "no answer"));
        }
        let objects = versions.iter().map(|v| ObjectBody {
            name: "m".to_owned(),
            version: *v,
            value: v.to_string(),
            deleted: false,
        });
        Ok(ObjectList {
            version: 1,
            objects: objects.collect(),
        })
    }
}

impl ObjectApi for ScriptedPlatform {
    fn get(&self, _: &str, _: &str) -> std::result::Result<Option<ObjectBody>, Error> {
        unreachable!("the watcher gets no single objects")
    }

    fn list(&self, _: &str) -> std::result::Result<ObjectList, Error> {
        self.call()
    }

    fn put(&self, _: &Put<'_>) -> std::result::Result<u64, Error> {
        unreachable!("the watcher writes nothing")
    }

    fn delete(&self, _: &str, _: &str, _: u64) -> std::result::Result<(), Error> {
        unreachable!("the watcher deletes nothing")
    }

    fn watch(&self, _: &str, _: u64, _: Duration) -> std::result::Result<ObjectList, Error> {
        self.call()
    }
}

/// A codec whose weights and incarnations are plain numbers.
#[derive(Clone, Copy)]
struct PlainNumbers;

impl SiteCodec for PlainNumbers {
    fn kind(&self, kind: SiteKind) -> &'static str {
        kind.as_str()
    }

    fn document(&self, _: &ObjectBody) -> std::result::Result<Option<SiteDocument>, Error> {
        Ok(None)
    }

    fn server(&self, object: &ObjectBody) -> std::result::Result<ListedServer, Error> {
        let incarnation = object.value.parse().expect("an incarnation");
        Ok(ListedServer {
            id: ServerId::new(&object.name),
            service: ServiceId::new("orders"),
            address: ([127, 0, 0, 1], 9_001).into(),
            zone: ZoneId::new("a"),
            slots: 4,
            leaving: false,
            incarnation: Incarnation::new(incarnation),
            weights: None,
        })
    }

    fn weights(&self, object: &ObjectBody) -> std::result::Result<NamedWeights, Error> {
        let version = object.value.parse().expect("a version");
        Ok(NamedWeights {
            model: ModelId::new("m"),
            version: WeightsVersion::new(version),
        })
    }
}

/// Runs the watcher of a kind until it has sent `count` updates besides the times until which weights are known.
/// Returns them, and when each call was sent.
fn watch(kind: SiteKind, answers: &[Answer], count: usize) -> (Vec<SiteUpdate>, Vec<Timestamp>) {
    watch_for(kind, answers, count, |u| {
        !matches!(u, SiteUpdate::NamedUntil(_))
    })
}

/// Runs the watcher of a kind until it has sent `count` updates that are `wanted`. Returns them, and when each call
/// was sent.
fn watch_for(
    kind: SiteKind,
    answers: &[Answer],
    count: usize,
    wanted: impl Fn(&SiteUpdate) -> bool,
) -> (Vec<SiteUpdate>, Vec<Timestamp>) {
    let clock = Clock::new();
    let platform = ScriptedPlatform::new(answers, clock);
    let (tx, rx) = flume::bounded(1);
    let schedule = WatchSchedule::new(1);
    let watcher = SiteWatcher::new(
        platform.clone(),
        PlainNumbers,
        kind,
        tx,
        clock,
        schedule,
        clock.now(),
    );
    let thread = thread::spawn(move || watcher.run());
    let updates: Vec<_> = rx.iter().filter(wanted).take(count).collect();
    drop(rx);
    thread.join().expect("the watcher ends");
    let started = platform.started.lock().expect("the lock").clone();
    (updates, started)
}

/// Runs the watcher of weights until it has sent `count` updates. Returns the earliest time of the
/// last one, and when each call was sent.
fn watch_weights(answers: &[Answer], count: usize) -> (Timestamp, Vec<Timestamp>) {
    let (updates, started) = watch(SiteKind::Weights, answers, count);
    let Some(SiteUpdate::Weights(_, earliest)) = updates.last() else {
        panic!("weights are reported: {updates:?}");
    };
    (*earliest, started)
}

/// Guards against an entry that was frozen while weights were named, and takes them for named when
/// it goes on.
#[gtest]
fn a_watch_that_is_read_late_dates_weights_before_it_was_sent() {
    let answers: [Answer; 2] = [(&[], Duration::ZERO), (&[2], HOLD_UP)];
    let (earliest, started) = watch_weights(&answers, 1);
    expect_that!(earliest, le(started[1]));
}

/// Guards against the same after several changes, of which the first answer reports only one.
#[gtest]
fn weights_that_follow_a_late_answer_are_dated_before_it_was_sent() {
    let answers: [Answer; 3] = [
        (&[], Duration::ZERO),
        (&[2], HOLD_UP),
        (&[3], Duration::ZERO),
    ];
    let (earliest, started) = watch_weights(&answers, 2);
    expect_that!(earliest, le(started[1]));
}

/// Guards against a list of servers that counts as complete until its answer was read, or before the
/// servers in the answer were passed on.
#[gtest]
fn the_list_of_servers_is_complete_until_its_answer_was_asked_for() {
    let answers: [Answer; 3] = [(&[1], HOLD_UP), (&[2], HOLD_UP), (&[], HOLD_UP)];
    let (updates, started) = watch(SiteKind::Servers, &answers, 5);
    let [
        SiteUpdate::Servers(listed, _),
        SiteUpdate::ListedUntil(first, _),
        SiteUpdate::Server(changed),
        SiteUpdate::ListedUntil(second, _),
        SiteUpdate::ListedUntil(third, _),
    ] = &updates[..]
    else {
        panic!("the time follows the servers of each answer: {updates:?}");
    };
    expect_that!(listed[0].incarnation, eq(Incarnation::new(1)));
    expect_that!(changed.incarnation, eq(Incarnation::new(2)));
    expect_that!(*first, le(started[0]));
    expect_that!(*second, all!(ge(started[0] + HOLD_UP), le(started[1])));
    expect_that!(*third, all!(ge(started[1] + HOLD_UP), le(started[2])));
}

/// Guards against older weights that end early because nobody could be asked when newer ones were named.
#[gtest]
fn a_disturbance_is_reported_before_the_weights_that_were_named_meanwhile() {
    let failure = (UNAVAILABLE, Duration::ZERO);
    let answers: [Answer; 4] = [(&[1], Duration::ZERO), failure, failure, (&[2], HOLD_UP)];
    let (updates, started) = watch(SiteKind::Weights, &answers, 3);
    let [
        SiteUpdate::Weights(..),
        SiteUpdate::Disturbed(ended),
        SiteUpdate::Weights(named, _),
    ] = &updates[..]
    else {
        panic!("the disturbance comes before the weights: {updates:?}");
    };
    expect_that!(ended.until, all!(ge(started[1]), le(started[2])));
    expect_that!(ended.restored, eq(false));
    expect_that!(named.version, eq(WeightsVersion::new(2)));
}

/// Guards against older weights that are given up for good by an answer from after an outage, before the outage
/// itself counts.
#[gtest]
fn a_disturbance_is_told_before_the_time_until_which_weights_are_known() {
    let away = (UNAVAILABLE, Duration::ZERO);
    let answers: [Answer; 4] = [(&[], Duration::ZERO), away, away, (&[], Duration::ZERO)];
    let (updates, started) = watch_for(SiteKind::Weights, &answers, 3, |_| true);
    let [
        SiteUpdate::NamedUntil(before),
        SiteUpdate::Disturbed(disturbance),
        SiteUpdate::NamedUntil(after),
    ] = &updates[..]
    else {
        panic!("three updates: {updates:?}");
    };
    expect_that!(*before, le(started[0]));
    expect_that!(disturbance.since, all!(ge(started[0]), le(started[1])));
    expect_that!(*after, ge(disturbance.until));
}
