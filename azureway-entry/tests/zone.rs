//! Tests of reading the platform once for a zone.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::clock::Clock;
use azureway_entry::peer::PeerMessage;
use azureway_entry::site::{SiteCodec, SiteKind, SiteUpdate, SiteWatcher};
use azureway_entry::zone::{
    KindCache, ReadTimes, ZoneCache, ZoneChanges, ZoneClient, ZoneLink, ZoneReply, ZoneRequest,
};
use azureway_objects::{ObjectApi, Put};
use azureway_wire::object::{ObjectBody, ObjectList};
use flume::Receiver;
use googletest::prelude::*;

const WAIT: Duration = Duration::from_millis(100);

fn object(name: &str, version: u64, deleted: bool) -> ObjectBody {
    ObjectBody {
        name: name.to_owned(),
        version,
        value: version.to_string(),
        deleted,
    }
}

fn list(version: u64, objects: &[ObjectBody]) -> ObjectList {
    ObjectList {
        version,
        objects: objects.to_vec(),
    }
}

fn names(list: &ObjectList) -> Vec<(&str, bool)> {
    let objects = list.objects.iter();
    objects.map(|o| (o.name.as_str(), o.deleted)).collect()
}

const AT: Timestamp = Timestamp::from_millis(1_000);

const READ: ReadTimes = read(AT);

/// The times of an answer that told every change until `until`.
const fn read(until: Timestamp) -> ReadTimes {
    ReadTimes {
        since: Timestamp::ZERO,
        until,
        recovered: None,
    }
}

#[gtest]
fn a_cache_answers_with_the_changes_after_a_version() {
    let mut cache = KindCache::default();
    expect_that!(cache.changes(None, 0), none());
    cache.record(
        None,
        None,
        &list(10, &[object("a", 3, false), object("b", 9, false)]),
        READ,
    );
    // What was deleted before the list is not known.
    expect_that!(cache.changes(None, 9), none());
    expect_that!(cache.changes(None, 10).expect("known").objects, is_empty());
    cache.record(
        None,
        Some(10),
        &list(14, &[object("a", 12, false), object("b", 9, true)]),
        READ,
    );
    let changes = cache.changes(None, 10).expect("known");
    expect_that!(
        names(&changes),
        elements_are![eq(&("a", false)), eq(&("b", true))]
    );
    let changes = cache.changes(None, 13).expect("known");
    expect_that!(names(&changes), elements_are![eq(&("b", true))]);
    expect_that!(changes.version, eq(14));
    // A caller that has read the platform itself may know more. It is not set back.
    let changes = cache.changes(None, 20).expect("known");
    expect_that!((changes.version, changes.objects.len()), eq((20, 0)));
}

/// Guards against weights that an entry never hears of: its reader had itself heard of them from another reader,
/// and did not have them.
#[gtest]
fn a_cache_with_a_gap_does_not_answer_from_before_it() {
    let mut cache = KindCache::default();
    cache.record(None, None, &list(10, &[]), READ);
    // Version 11 came from a reader. Then this entry was selected as one, and read on from there.
    let later = list(15, &[object("b", 15, false)]);
    cache.record(None, Some(11), &later, READ);
    expect_that!(cache.changes(None, 10), none());
    let changes = cache.changes(None, 11).expect("known");
    expect_that!(names(&changes), elements_are![eq(&("b", false))]);
    // Overlapping answers leave no gap.
    cache.record(None, Some(13), &list(16, &[]), READ);
    expect_that!(cache.changes(None, 11), some(anything()));
}

/// Guards against large objects of another writer that take the memory of every entry that reads for its zone.
#[gtest]
fn a_cache_whose_values_outgrow_its_bound_keeps_none() {
    let mut cache = KindCache::new(100);
    let mut large = object("a", 3, false);
    large.value = "v".repeat(101);
    cache.record(None, None, &list(10, &[large]), READ);
    expect_that!(cache.changes(None, 10), none());
    cache.record(None, None, &list(11, &[object("a", 11, false)]), READ);
    expect_that!(cache.changes(None, 11), some(anything()));
}

/// Guards against an answer across a restore: versions of two eras cannot be compared.
#[gtest]
fn a_cache_of_another_era_answers_nothing() {
    let (old, new) = (Some(StoreEra::new(1)), Some(StoreEra::new(2)));
    let mut cache = KindCache::default();
    cache.record(old, None, &list(10, &[object("a", 3, false)]), READ);
    expect_that!(cache.changes(old, 10), some(anything()));
    expect_that!(cache.changes(new, 10), none());
    cache.record(new, None, &list(5, &[object("a", 2, false)]), READ);
    expect_that!(cache.changes(old, 10), none());
    expect_that!(cache.changes(new, 5), some(anything()));
}

fn request(kind: SiteKind, after: u64) -> ZoneRequest {
    ZoneRequest {
        kind,
        era: None,
        after,
        wait: WAIT,
        attempt: 0,
        lost: false,
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .build();
    runtime.expect("a runtime").block_on(future)
}

#[gtest]
fn a_reader_answers_at_once_on_a_change_and_else_after_the_wait() {
    let clock = Clock::new();
    let cache = Arc::new(ZoneCache::new(clock));
    let kind = SiteKind::Document;
    cache.record(kind, None, None, &list(10, &[]), read(clock.now()));
    let quiet = block_on(cache.wait(&request(kind, 10))).expect("known");
    expect_that!(quiet.held, ge(WAIT));
    expect_that!(quiet.list.objects, is_empty());
    let writer = Arc::clone(&cache);
    let thread = thread::spawn(move || {
        let changed = list(11, &[object("a", 11, false)]);
        writer.record(kind, None, Some(10), &changed, read(clock.now()));
    });
    let mut long = request(kind, 10);
    long.wait = Duration::from_secs(60);
    let changes = block_on(cache.wait(&long)).expect("known");
    expect_that!(names(&changes.list), elements_are![eq(&("a", false))]);
    thread.join().expect("the writer ends");
}

/// Guards against a reader that is cut off from the platform and goes on answering that nothing changes.
#[gtest]
fn a_reader_whose_watch_is_overdue_answers_nothing() {
    let clock = Clock::new();
    let cache = ZoneCache::new(clock);
    let kind = SiteKind::Weights;
    let overdue = kind.relay_limit() + WAIT;
    cache.record(
        kind,
        None,
        None,
        &list(10, &[]),
        read(clock.now().before(overdue)),
    );
    expect_that!(block_on(cache.wait(&request(kind, 10))), none());
}

/// A platform that counts its calls and reports the same object with each.
#[derive(Clone, Default)]
struct CountingPlatform {
    calls: Arc<AtomicUsize>,
    /// Whether it rejects watches.
    rejects: bool,
}

impl CountingPlatform {
    fn call(&self) -> std::result::Result<ObjectList, Error> {
        self.calls.fetch_add(1, Ordering::AcqRel);
        Ok(list(10, &[object("m", 10, false)]))
    }
}

impl ObjectApi for CountingPlatform {
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
        if self.rejects {
            let step = Step::new("watch objects");
            return Err(Error::new(ErrorKind::Unavailable, step, "turned away"));
        }
        self.call()
    }
}

/// A codec whose weights are plain numbers.
#[derive(Clone, Copy)]
struct PlainNumbers;

impl SiteCodec for PlainNumbers {
    fn kind(&self, kind: SiteKind) -> &'static str {
        kind.as_str()
    }

    fn document(&self, _: &ObjectBody) -> std::result::Result<Option<SiteDocument>, Error> {
        unreachable!("only weights are watched")
    }

    fn server(&self, object: &ObjectBody) -> std::result::Result<ListedServer, Error> {
        Ok(ListedServer {
            id: ServerId::new(&object.name),
            service: ServiceId::new("orders"),
            address: ([127, 0, 0, 1], 9_001).into(),
            zone: ZoneId::new("a"),
            slots: 4,
            leaving: false,
            incarnation: Incarnation::new(1),
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

/// Returns the updates besides the times until which weights are known.
fn changes(updates: &Receiver<SiteUpdate>) -> impl Iterator<Item = SiteUpdate> {
    let is_change = |u: &SiteUpdate| !matches!(u, SiteUpdate::NamedUntil(_));
    updates.iter().filter(is_change)
}

/// Runs the watcher of weights of an entry whose reader answers with `answers`, and then no more, until it
/// has sent `count` updates. Returns them with the number of calls to the platform.
fn watch(
    answers: Vec<Option<std::result::Result<ZoneChanges, ()>>>,
    count: usize,
) -> (Vec<SiteUpdate>, usize) {
    let clock = Clock::new();
    let platform = CountingPlatform::default();
    let (peer_tx, peer_rx): (_, Receiver<PeerMessage>) = flume::bounded(1);
    let link = ZoneLink::new(ZoneClient::new(peer_tx), Arc::new(ZoneCache::new(clock)));
    let (tx, rx) = flume::bounded(1);
    let schedule = WatchSchedule::new(1);
    let (api, since) = (platform.clone(), clock.now());
    let watcher = SiteWatcher::new(
        api,
        PlainNumbers,
        SiteKind::Weights,
        tx,
        clock,
        schedule,
        since,
    )
    .with_zone(Some(link));
    let watcher = thread::spawn(move || watcher.run());
    let (end_tx, end_rx) = flume::bounded::<()>(1);
    let reader = thread::spawn(move || {
        for answer in answers {
            let Ok(PeerMessage::AskZone(_, reply)) = peer_rx.recv() else {
                return;
            };
            let _ = reply.send(answer);
        }
        // The next request is held until the calls have been counted.
        let held = peer_rx.recv();
        let _ = end_rx.recv();
        drop(held);
    });
    let updates: Vec<_> = changes(&rx).take(count).collect();
    let calls = platform.calls.load(Ordering::Acquire);
    drop((rx, end_tx));
    reader.join().expect("the reader ends");
    watcher.join().expect("the watcher ends");
    (updates, calls)
}

fn relayed(
    version: u64,
    age: Duration,
    held: Duration,
) -> Option<std::result::Result<ZoneChanges, ()>> {
    Some(Ok(ZoneChanges {
        list: list(version, &[object("m", version, false)]),
        whole: false,
        age,
        held,
        changed: None,
        recovered: None,
    }))
}

fn versions(updates: &[SiteUpdate]) -> Vec<u64> {
    let version = |update: &SiteUpdate| match update {
        SiteUpdate::Weights(named, _) => named.version.get(),
        _ => 0,
    };
    updates.iter().map(version).collect()
}

/// After its own list an entry hears from the reader of its zone, and asks the platform nothing.
#[gtest]
fn changes_come_from_the_reader_without_a_call_to_the_platform() {
    let answers = vec![
        relayed(11, Duration::ZERO, Duration::ZERO),
        relayed(12, Duration::ZERO, Duration::ZERO),
    ];
    let (updates, calls) = watch(answers, 3);
    expect_that!(versions(&updates), elements_are![eq(&10), eq(&11), eq(&12)]);
    // The list.
    expect_that!(calls, eq(1));
}

/// Guards against an entry whose readers are all lost or cut off, and which waits for them.
#[gtest]
fn an_entry_whose_reader_fails_reads_the_platform_itself() {
    for failure in [Some(Err(())), None] {
        let (updates, calls) = watch(vec![failure], 2);
        expect_that!(versions(&updates), elements_are![eq(&10), eq(&10)]);
        expect_that!(calls, ge(2));
    }
}

/// Guards against a watcher that hears of nothing while the peer duty is held up and takes no requests.
#[gtest]
fn a_request_that_nobody_takes_fails_in_time() {
    let (peer, _full) = flume::bounded(0);
    let (tx, rx) = flume::bounded(1);
    thread::spawn(move || {
        let failed = ZoneClient::new(peer).ask(request(SiteKind::Weights, 10));
        let _ = tx.send(failed);
    });
    let failed = rx.recv_timeout(WAIT + ZoneClient::TIMEOUT * 3);
    expect_that!(failed, ok(some(err(eq(&())))));
}

/// A watcher of weights that is being watched: the requests to its reader, and what it sends.
struct Watched {
    requests: Receiver<PeerMessage>,
    updates: Receiver<SiteUpdate>,
    watcher: thread::JoinHandle<()>,
}

impl Watched {
    /// Starts a watcher, which has listed weights 10.
    fn new(clock: Clock) -> Self {
        Self::with_platform(clock, CountingPlatform::default())
    }

    /// Starts a watcher of a platform from which it has listed weights 10.
    fn with_platform(clock: Clock, api: CountingPlatform) -> Self {
        let (peer_tx, requests) = flume::bounded(1);
        let link = ZoneLink::new(ZoneClient::new(peer_tx), Arc::new(ZoneCache::new(clock)));
        let (tx, updates) = flume::bounded(1);
        let since = clock.now();
        let (kind, schedule) = (SiteKind::Weights, WatchSchedule::new(1));
        let watcher = SiteWatcher::new(api, PlainNumbers, kind, tx, clock, schedule, since);
        let watcher = watcher.with_zone(Some(link));
        let watcher = thread::spawn(move || watcher.run());
        changes(&updates).next().expect("the listed weights");
        Self {
            requests,
            updates,
            watcher,
        }
    }

    /// Returns the next request to the reader.
    fn request(&self) -> (ZoneRequest, ZoneReply) {
        let message = self.requests.recv_timeout(Duration::from_secs(10));
        let Ok(PeerMessage::AskZone(request, reply)) = message else {
            panic!("the watcher asks the reader");
        };
        (request, reply)
    }

    /// Returns the earliest time at which the next weights can have been named.
    fn earliest(&self) -> Timestamp {
        let update = changes(&self.updates).next().expect("the changed weights");
        let SiteUpdate::Weights(_, earliest) = update else {
            panic!("weights are reported: {update:?}");
        };
        earliest
    }

    fn end(self) {
        drop((self.requests, self.updates));
        self.watcher.join().expect("the watcher ends");
    }
}

/// Guards against weights that count as named when they were heard of: the way from the reader takes time.
#[gtest]
fn relayed_changes_are_dated_before_the_request_for_them() {
    let clock = Clock::new();
    let watched = Watched::new(clock);
    let mut asked = Vec::new();
    let mut earliest = Vec::new();
    for version in [11, 12] {
        let (_, reply) = watched.request();
        asked.push(clock.now());
        thread::sleep(WAIT);
        let _ = reply.send(relayed(version, Duration::ZERO, Duration::ZERO));
        earliest.push(watched.earliest());
    }
    expect_that!(earliest[1], le(asked[0]));
    watched.end();
}

/// Guards against weights that count as named long before they were, although their reader knows better: what is
/// lost of their time is lost to loading them.
#[gtest]
fn relayed_changes_are_dated_as_closely_as_their_reader_can() {
    let clock = Clock::new();
    let watched = Watched::new(clock);
    let reader = Arc::new(ZoneCache::new(clock));
    let kind = SiteKind::Weights;
    reader.record(kind, None, None, &list(10, &[]), read(clock.now()));
    let (request, reply) = watched.request();
    let writer = Arc::clone(&reader);
    let writer = thread::spawn(move || {
        // The reader's own watches report nothing for a while, and then weights 11.
        thread::sleep(WAIT * 3);
        let since = clock.now();
        let changed = list(11, &[object("m", 11, false)]);
        writer.record(
            kind,
            None,
            Some(10),
            &changed,
            ReadTimes {
                since,
                ..read(since)
            },
        );
        since
    });
    let changes = block_on(reader.wait(&request)).expect("known");
    let since = writer.join().expect("the writer ends");
    let _ = reply.send(Some(Ok(changes)));
    let earliest = watched.earliest();
    expect_that!(earliest, le(since));
    expect_that!(earliest, ge(since.before(WAIT)));
    watched.end();
}

/// Guards against weights that are dated too late by a reader's time: its answer, or the request for it, was held up
/// on its way.
#[gtest]
fn a_held_up_way_to_the_reader_dates_changes_no_later_than_they_happened() {
    for (before, after) in [(WAIT * 2, Duration::ZERO), (Duration::ZERO, WAIT * 2)] {
        let clock = Clock::new();
        let watched = Watched::new(clock);
        let (request, reply) = watched.request();
        thread::sleep(before);
        let reader = ZoneCache::new(clock);
        let since = clock.now();
        let times = ReadTimes {
            since,
            ..read(since)
        };
        let changed = list(11, &[object("m", 11, false)]);
        reader.record(request.kind, None, Some(10), &changed, times);
        let changes = block_on(reader.wait(&request)).expect("known");
        thread::sleep(after);
        let _ = reply.send(Some(Ok(changes)));
        expect_that!(watched.earliest(), le(since));
        watched.end();
    }
}

/// Guards against a read of the platform that counts from before a request to a reader that failed first.
#[gtest]
fn a_read_of_the_platform_after_a_failed_request_is_dated_from_when_it_was_sent() {
    let clock = Clock::new();
    let watched = Watched::new(clock);
    let (_, reply) = watched.request();
    thread::sleep(WAIT * 2);
    let failed = clock.now();
    let _ = reply.send(Some(Err(())));
    // The platform's first answer reports changes until it was asked for, by which the second one dates its own.
    watched.earliest();
    expect_that!(watched.earliest(), ge(failed));
    watched.end();
}

/// Guards against an entry that the platform turns away and that, once a reader has failed, hears of nothing until
/// the platform takes its calls again, though another reader is well.
#[gtest]
fn an_entry_that_is_turned_away_goes_on_to_ask_readers() {
    let platform = CountingPlatform {
        rejects: true,
        ..CountingPlatform::default()
    };
    let watched = Watched::with_platform(Clock::new(), platform);
    let (_, reply) = watched.request();
    let _ = reply.send(Some(Err(())));
    // What the reader knew before this entry's calls failed does not show that the platform answers.
    let (request, reply) = watched.request();
    expect_that!(request.wait, eq(Duration::ZERO));
    let old = Duration::from_secs(60);
    let _ = reply.send(relayed(11, old, Duration::ZERO));
    let (_, reply) = watched.request();
    let _ = reply.send(relayed(12, Duration::ZERO, Duration::ZERO));
    let update = changes(&watched.updates)
        .next()
        .expect("the changed weights");
    expect_that!(versions(&[update]), elements_are![eq(&12)]);
    let (request, _reply) = watched.request();
    expect_that!(request.wait, eq(SiteKind::Weights.relay_wait()));
    // The watcher has nothing more to send, by which it would notice the end.
}

/// Runs the watcher of servers of an entry that reads the platform itself. The platform lists two
/// servers, turns the entry away and then lists one. `peer` is what another entry knows meanwhile, if it
/// is asked. Returns the updates of the list with the platform's recovery that the entry tells of.
fn watch_servers(peer: Option<ZoneChanges>) -> Vec<(Vec<String>, bool)> {
    let clock = Clock::new();
    let (peer_tx, requests): (_, Receiver<PeerMessage>) = flume::bounded(1);
    let link = ZoneLink::new(ZoneClient::new(peer_tx), Arc::new(ZoneCache::new(clock)));
    let (tx, updates) = flume::bounded(64);
    let (schedule, count) = (WatchSchedule::new(1), if peer.is_some() { 3 } else { 2 });
    let (kind, since) = (SiteKind::Servers, clock.now());
    let api = TurnedAway::default();
    let watcher = SiteWatcher::new(api, PlainNumbers, kind, tx, clock, schedule, since)
        .with_zone(Some(link.with_relays(false)));
    thread::spawn(move || watcher.run());
    thread::spawn(move || {
        for message in requests {
            let PeerMessage::AskZone(request, reply) = message else {
                panic!("only changes are asked for");
            };
            assert_eq!((request.lost, request.after), (true, 10));
            let _ = reply.send(Some(peer.clone().ok_or(())));
        }
    });
    let lists = updates.iter().filter_map(|update| match update {
        SiteUpdate::Servers(servers, recovered) => {
            let names = servers.iter().map(|s| s.id.to_string()).collect();
            Some((names, recovered.is_some()))
        }
        _ => None,
    });
    lists.take(count).collect()
}

/// A platform that answers a list with two servers, fails a watch, no longer knows the history, and then
/// lists one server.
#[derive(Clone, Default)]
struct TurnedAway {
    calls: Arc<AtomicUsize>,
}

impl TurnedAway {
    fn answer(&self) -> std::result::Result<ObjectList, Error> {
        let error = |kind| Err(Error::new(kind, Step::new("watch objects"), "turned away"));
        let servers = [object("a", 9, false), object("b", 10, false)];
        match self.calls.fetch_add(1, Ordering::AcqRel) {
            0 => Ok(list(10, &servers)),
            1 => error(ErrorKind::Unavailable),
            2 => error(ErrorKind::Protocol),
            _ => Ok(list(20, &servers[..1])),
        }
    }
}

impl ObjectApi for TurnedAway {
    fn get(&self, _: &str, _: &str) -> std::result::Result<Option<ObjectBody>, Error> {
        unreachable!("the watcher gets no single objects")
    }

    fn list(&self, _: &str) -> std::result::Result<ObjectList, Error> {
        self.answer()
    }

    fn put(&self, _: &Put<'_>) -> std::result::Result<u64, Error> {
        unreachable!("the watcher writes nothing")
    }

    fn delete(&self, _: &str, _: &str, _: u64) -> std::result::Result<(), Error> {
        unreachable!("the watcher deletes nothing")
    }

    fn watch(&self, _: &str, _: u64, _: Duration) -> std::result::Result<ObjectList, Error> {
        self.answer()
    }
}

/// Guards against requests to a server that has left: an entry that the platform turned away took its own
/// outage for one of the platform, in which registrations expire, and kept every server that was gone.
#[gtest]
fn an_entry_that_is_turned_away_hears_of_removed_servers_and_does_not_keep_them() {
    let peer = ZoneChanges {
        list: list(20, &[object("a", 9, false)]),
        whole: true,
        age: Duration::ZERO,
        held: Duration::ZERO,
        changed: None,
        recovered: None,
    };
    let list = |names: &[&str], kept| {
        let names = names.iter().map(ToString::to_string);
        (names.collect::<Vec<_>>(), kept)
    };
    let all = list(&["a", "b"], false);
    // The second list comes from the peer.
    let expected = vec![all.clone(), list(&["a"], false), list(&["a"], false)];
    expect_that!(watch_servers(Some(peer)), eq(&expected));
    // Without a peer, the platform may have been away, and servers are kept that it may list again.
    expect_that!(watch_servers(None), eq(&vec![all, list(&["a"], true)]));
}

#[gtest]
fn a_cache_tells_all_objects_to_a_peer_that_has_missed_the_history() {
    let mut cache = KindCache::default();
    // Objects that do not change are not known without a list.
    cache.record(None, Some(5), &list(9, &[object("b", 9, false)]), READ);
    expect_that!(cache.all(None, 3), none());
    cache.record(None, None, &list(10, &[object("a", 3, false)]), READ);
    let changed = list(12, &[object("b", 11, false), object("a", 12, true)]);
    cache.record(None, Some(10), &changed, READ);
    let all = cache.all(None, 3).expect("known");
    expect_that!(names(&all), elements_are![eq(&("b", false))]);
    expect_that!(all.version, eq(12));
    // The peer knows more, or another era.
    expect_that!(cache.all(None, 13), none());
    expect_that!(cache.all(Some(StoreEra::new(2)), 3), none());
}
