//! Tests of a site watcher that reads objects of another writer.

use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::clock::Clock;
use azureway_entry::site::{SiteCodec, SiteKind, SiteUpdate, SiteWatcher};
use azureway_objects::{ObjectApi, Put};
use azureway_wire::object::{ObjectBody, ObjectList};
use flume::{Receiver, Sender};
use googletest::prelude::*;
use log::{LevelFilter, Log, Metadata, Record};

/// The bound on a wait, so that a failing test cannot hang. No result depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The number of times that an odd object is written.
const WRITES: u64 = 50;

/// A platform that answers calls with what the test sends, in order.
struct Script(Receiver<ObjectList>);

impl Script {
    fn answer(&self) -> Result<ObjectList, Error> {
        let answer = self.0.recv();
        Ok(answer.unwrap_or_else(|_| {
            loop {
                thread::park();
            }
        }))
    }
}

impl ObjectApi for Script {
    fn get(&self, _: &str, _: &str) -> Result<Option<ObjectBody>, Error> {
        Ok(None)
    }

    fn list(&self, _: &str) -> Result<ObjectList, Error> {
        self.answer()
    }

    fn put(&self, _: &Put<'_>) -> Result<u64, Error> {
        Ok(0)
    }

    fn delete(&self, _: &str, _: &str, _: u64) -> Result<(), Error> {
        Ok(())
    }

    fn watch(&self, _: &str, _: u64, _: Duration) -> Result<ObjectList, Error> {
        self.answer()
    }
}

/// A site whose servers' objects hold their address.
#[derive(Clone)]
struct Addresses;

impl SiteCodec for Addresses {
    fn kind(&self, kind: SiteKind) -> &'static str {
        kind.as_str()
    }

    fn document(&self, _: &ObjectBody) -> Result<Option<SiteDocument>, Error> {
        Ok(None)
    }

    fn server(&self, object: &ObjectBody) -> Result<ListedServer, Error> {
        let detail = format_args!("address `{}`", object.value);
        let error = |_| Error::new(ErrorKind::Protocol, Step::new("read server"), detail);
        Ok(ListedServer {
            id: ServerId::new(&object.name),
            service: ServiceId::new("orders"),
            address: object.value.parse().map_err(error)?,
            zone: ZoneId::new("a"),
            slots: 1,
            leaving: false,
            incarnation: Incarnation::new(1),
            weights: None,
        })
    }

    fn weights(&self, _: &ObjectBody) -> Result<NamedWeights, Error> {
        let step = Step::new("read weights");
        Err(Error::new(ErrorKind::Protocol, step, "none here"))
    }
}

/// Keeps the lines that are logged about the objects of servers.
struct Lines(Arc<Mutex<Vec<String>>>);

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let text = |key: &str| record.key_values().get(key.into()).map(|v| v.to_string());
        // The tests of this file share the logger.
        let is_server = text("kind").is_some_and(|k| k == SiteKind::Servers.as_str());
        if let (true, Some(name), Some(error)) = (is_server, text("name"), text("error")) {
            let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
            lines.push(format!("{name}: {error}"));
        }
    }

    fn flush(&self) {}
}

/// A watcher of backend servers or quarantines, and its platform.
struct Fixture {
    answers: Sender<ObjectList>,
    updates: Receiver<SiteUpdate>,
    version: u64,
    /// The number of updates that hold only the time of an answer.
    times: u64,
}

impl Fixture {
    fn start(kind: SiteKind) -> Self {
        let (answers, script) = flume::unbounded();
        let (update_tx, updates) = flume::unbounded();
        let schedule = WatchSchedule::new(1);
        let (clock, since) = (Clock::new(), Timestamp::ZERO);
        let api = Script(script);
        let watcher = SiteWatcher::new(api, Addresses, kind, update_tx, clock, schedule, since);
        thread::spawn(move || watcher.run());
        Self {
            answers,
            updates,
            version: 0,
            times: 0,
        }
    }

    fn send(&mut self, name: &str, value: &str) {
        self.version += 1;
        let object = ObjectBody {
            name: name.to_owned(),
            version: self.version,
            value: value.to_owned(),
            deleted: false,
        };
        let list = ObjectList {
            version: self.version,
            objects: vec![object],
        };
        self.answers.send(list).expect("the watcher runs");
    }

    /// Returns the updates up to the one that lists `server`, as text. Those that hold only a time are
    /// counted instead.
    fn updates_until(&mut self, server: &str) -> Vec<String> {
        let mut seen = Vec::new();
        loop {
            let update = self.updates.recv_timeout(TEST_TIMEOUT).expect("an update");
            seen.push(match update {
                SiteUpdate::ListedUntil(..) => {
                    self.times += 1;
                    continue;
                }
                SiteUpdate::Server(listed) if listed.id.as_str() == server => return seen,
                SiteUpdate::Server(listed) => format!("listed {}", listed.id),
                SiteUpdate::Removed(id, _) => format!("removed {id}"),
                SiteUpdate::Servers(servers, _) => format!("{} servers", servers.len()),
                other => format!("{other:?}"),
            });
        }
    }
}

/// Guards against an odd object that fills the log and rebuilds the fleet with each heartbeat of its
/// writer.
#[gtest]
fn an_odd_object_is_logged_and_removed_once() {
    let lines = Arc::default();
    let logger = Box::new(Lines(Arc::clone(&lines)));
    log::set_boxed_logger(logger).expect("the only logger");
    log::set_max_level(LevelFilter::Info);
    let mut fixture = Fixture::start(SiteKind::Servers);
    fixture.send("s", "10.0.0.9:80");
    fixture.send("s", "10.0.0.9:80");
    for _ in 0..WRITES {
        fixture.send("s", "10.0.0.9:70000");
    }
    fixture.send("s", "10.0.0.9:80");
    fixture.send("s", "10.0.0.9:70000");
    fixture.send("last", "10.0.0.9:81");
    let first = fixture.updates_until("s");
    expect_that!(first, elements_are![eq("1 servers")]);
    let second = fixture.updates_until("s");
    expect_that!(second, elements_are![eq("removed s")]);
    let third = fixture.updates_until("last");
    expect_that!(third, elements_are![eq("removed s")]);
    // Each answer but the last one, whose time follows its servers.
    expect_that!(fixture.times, eq(fixture.version - 1));
    let lines = lines.lock().unwrap_or_else(PoisonError::into_inner);
    let expected = "s: read server: address `10.0.0.9:70000`";
    expect_that!(*lines, elements_are![eq(expected), eq(expected)]);
}

/// Guards against stored quarantines of another writer that end the watcher.
#[gtest]
fn odd_quarantines_are_ignored() {
    let deep = format!("{}{}", "[".repeat(200_000), "]".repeat(200_000));
    let mut fixture = Fixture::start(SiteKind::Quarantines);
    let report = |incarnation: &str| {
        format!(r#"{{"server":"","incarnation":{incarnation},"confirmed":true}}"#)
    };
    let body = |until: &str, reports: &str| {
        format!(
            r#"{{"part":"{:032x}","until":{until},"reports":{reports}}}"#,
            7
        )
    };
    for value in [
        String::new(),
        "null".to_owned(),
        deep.clone(),
        body("18446744073709551616", "[]"),
        body("1e999", "[]"),
        body("18446744073709551615", &deep),
        body("18446744073709551615", &format!("[{}]", report("-1"))),
        r#"{"part":"x","until":18446744073709551615,"reports":[]}"#.to_owned(),
    ] {
        fixture.send("odd", &value);
    }
    let most = report("18446744073709551615");
    fixture.send("good", &body("18446744073709551615", &format!("[{most}]")));
    let update = fixture.updates.recv_timeout(TEST_TIMEOUT);
    let update = update.expect("an update");
    expect_true!(matches!(
        update,
        SiteUpdate::Quarantine(QuarantineChange::Stored(_))
    ));
}
