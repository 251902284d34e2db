//! Tests of a platform that is restored from a copy and assigns versions again.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use azureway_core::prelude::*;
use azureway_dev::http::HttpServer;
use azureway_dev::platform::{Platform, PlatformFaults};
use azureway_entry::clock::Clock;
use azureway_entry::peer::PeerMessage;
use azureway_entry::site::{SiteCodec, SiteKind, SiteUpdate, SiteWatcher};
use azureway_entry::watch::Registrar;
use azureway_objects::{HttpObjects, ObjectApi, Put};
use azureway_wire::instance::{INSTANCE_KIND, InstanceBody, InstanceRole};
use azureway_wire::object::ObjectBody;
use azureway_wire::quarantine::QuarantineBody;
use flume::Receiver;
use googletest::prelude::*;

/// The result of a platform call.
type CallResult<T> = std::result::Result<T, Error>;

/// The time limit for an update, which only a failing test reaches.
const TIME_LIMIT: Duration = Duration::from_secs(10);
/// The longest delay of a watcher after a failed call.
const BACKOFF_CAP: Duration = Duration::from_millis(100);
/// The name of every object under test.
const NAME: &str = "main";

/// Decodes objects whose value is a number.
#[derive(Clone, Copy)]
struct NumberCodec;

impl SiteCodec for NumberCodec {
    fn kind(&self, kind: SiteKind) -> &'static str {
        kind.as_str()
    }

    fn document(&self, object: &ObjectBody) -> CallResult<Option<SiteDocument>> {
        let version = ConfigVersion::new(number(object));
        Ok(Some(SiteDocument {
            version,
            ..SiteDocument::default()
        }))
    }

    fn server(&self, object: &ObjectBody) -> CallResult<ListedServer> {
        Ok(ListedServer {
            id: ServerId::new(&object.name),
            service: ServiceId::new("advice"),
            address: ([127, 0, 0, 1], 9).into(),
            zone: ZoneId::new("a"),
            slots: 1,
            leaving: false,
            incarnation: Incarnation::new(number(object)),
            weights: None,
        })
    }

    fn weights(&self, object: &ObjectBody) -> CallResult<NamedWeights> {
        Ok(NamedWeights {
            model: ModelId::new(&object.name),
            version: WeightsVersion::new(number(object)),
        })
    }
}

fn number(object: &ObjectBody) -> u64 {
    object.value.parse().expect("a number")
}

/// Returns the number of the object in the next update that holds one.
fn next_number(updates: &Receiver<SiteUpdate>) -> u64 {
    let deadline = Instant::now() + TIME_LIMIT;
    loop {
        return match updates.recv_deadline(deadline).expect("an update") {
            SiteUpdate::ListedUntil(..) | SiteUpdate::NamedUntil(_) => continue,
            SiteUpdate::Document(document) => document.version.get(),
            SiteUpdate::Servers(servers, _) => servers[0].incarnation.get(),
            SiteUpdate::Server(server) => server.incarnation.get(),
            SiteUpdate::Weights(named, _) => named.version.get(),
            other => panic!("unexpected {other:?}"),
        };
    }
}

fn start_watcher(kind: SiteKind, server: &HttpServer) -> Receiver<SiteUpdate> {
    let (updates, received) = flume::bounded(8);
    let (api, clock) = (HttpObjects::new(server.address()), Clock::new());
    let schedule =
        WatchSchedule::new(1).with_timing(kind.poll_timeout(), Duration::ZERO, BACKOFF_CAP);
    let now = clock.now();
    let watcher = SiteWatcher::new(api, NumberCodec, kind, updates, clock, schedule, now);
    thread::spawn(move || watcher.run());
    received
}

/// Guards against a confirmed change that an entry instance misses: a watch continues from a version
/// that the restored platform has assigned again to a later change.
#[gtest]
fn a_change_is_read_although_the_restored_platform_has_passed_the_watched_version() {
    for kind in [SiteKind::Document, SiteKind::Servers, SiteKind::Weights] {
        let platform = Arc::new(Platform::new());
        let server = HttpServer::start(Arc::clone(&platform)).expect("a free port");
        platform.seed(kind.as_str(), NAME, "1");
        let copy = platform.copy();
        for value in ["1", "2", "3"] {
            platform.seed("lost", NAME, value);
        }
        let updates = start_watcher(kind, &server);
        expect_that!(next_number(&updates), eq(1), "{kind:?}");
        let mut outage = PlatformFaults::new();
        outage.outage = true;
        platform.set_faults(outage);
        platform.restore(copy);
        platform.seed(kind.as_str(), NAME, "2");
        for value in ["1", "2", "3"] {
            platform.seed("other", NAME, value);
        }
        platform.set_faults(PlatformFaults::new());
        expect_that!(next_number(&updates), eq(2), "{kind:?}");
    }
}

/// Guards against a write that takes effect on the object of another writer: the restored platform
/// has assigned the expected version to another write.
#[gtest]
fn the_first_answer_after_a_restore_is_an_error_for_each_client() {
    let platform = Arc::new(Platform::new());
    let server = HttpServer::start(Arc::clone(&platform)).expect("a free port");
    let api = HttpObjects::new(server.address());
    platform.seed("lease", NAME, "1");
    let copy = platform.copy();
    let expected = platform.seed("lease", NAME, "2");
    expect_that!(api.get("lease", NAME), ok(some(anything())));
    let other = api.clone();
    platform.restore(copy);
    platform.seed("lease", NAME, "3");
    let put = Put {
        kind: "lease",
        name: NAME,
        value: "4",
        expected,
    };
    let kind = |result: CallResult<()>| result.map_err(|e| e.kind());
    expect_that!(kind(api.put(&put).map(drop)), err(eq(ErrorKind::Restored)));
    expect_that!(api.era(), some(eq(StoreEra::new(1))));
    expect_that!(api.get("lease", NAME), ok(some(anything())));
    expect_that!(
        kind(other.list("lease").map(drop)),
        err(eq(ErrorKind::Restored))
    );
    expect_that!(api.calls().restores(), eq(1));
}

#[gtest]
fn a_watch_from_a_version_that_a_restore_lost_fails() {
    let platform = Arc::new(Platform::new());
    let server = HttpServer::start(Arc::clone(&platform)).expect("a free port");
    let copy = platform.copy();
    let lost = platform.seed("lease", NAME, "1");
    platform.restore(copy);
    let api = HttpObjects::new(server.address());
    let answer = api.watch("lease", lost, Duration::ZERO);
    expect_that!(answer.map_err(|e| e.kind()), err(eq(&ErrorKind::Protocol)));
}

/// Guards against quarantines that only running processes know, since the restored platform has lost
/// them.
#[gtest]
fn quarantines_are_reported_lost_after_a_restore() {
    let platform = Arc::new(Platform::new());
    let server = HttpServer::start(Arc::clone(&platform)).expect("a free port");
    let (kind, copy) = (SiteKind::Quarantines, platform.copy());
    let updates = start_watcher(kind, &server);
    let record = QuarantineRecord {
        part: PartKey::of(b"part"),
        reports: Vec::new(),
    };
    let body = serde_json::to_string(&QuarantineBody::new(&record, u64::MAX)).expect("a body");
    platform.seed(kind.as_str(), &record.part.to_string(), &body);
    let stored = updates.recv_timeout(TIME_LIMIT);
    let pattern = matches_pattern!(SiteUpdate::Quarantine(anything()));
    expect_that!(stored, ok(pattern));
    platform.restore(copy);
    let lost = updates.recv_timeout(TIME_LIMIT);
    expect_that!(lost, ok(matches_pattern!(SiteUpdate::QuarantinesLost)));
}

/// Guards against an instance that its peers do not find, since the restored platform has lost its
/// registration.
#[gtest]
fn an_instance_registers_again_after_a_restore() {
    let platform = Arc::new(Platform::new());
    let server = HttpServer::start(Arc::clone(&platform)).expect("a free port");
    let copy = platform.copy();
    let body = InstanceBody {
        role: InstanceRole::Entry,
        zone: "a".to_owned(),
        address: ([127, 0, 0, 1], 9).into(),
        leaving: false,
    };
    let (peer, listed) = flume::bounded(8);
    let api = HttpObjects::new(server.address());
    let registrar = Registrar::new(api, InstanceId::new("a-1"), body, peer);
    thread::spawn(move || registrar.run());
    let first = listed.recv_timeout(TIME_LIMIT);
    let one = || matches_pattern!(PeerMessage::Listed(len(eq(1))));
    expect_that!(first, ok(one()));
    platform.restore(copy);
    expect_that!(platform.value(INSTANCE_KIND, "a-1"), none());
    expect_that!(listed.recv_timeout(TIME_LIMIT), ok(one()));
}
