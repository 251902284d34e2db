//! Tests of which configuration versions come into force for given answers of the platform.

use std::sync::Mutex;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::admit::AdmitMessage;
use azureway_entry::decide::DecideMessage;
use azureway_entry::peer::PeerMessage;
use azureway_entry::watch::{ConfigWatcher, WatchMessage};
use azureway_objects::{ObjectApi, Put};
use azureway_wire::change::DOCUMENT_NAME;
use azureway_wire::instance::INSTANCE_KIND;
use azureway_wire::object::{ObjectBody, ObjectList};
use flume::Sender;
use googletest::prelude::*;

/// The capacity of the rings, which hold every message of one case.
const RING: usize = 64;

/// An invalid document with the record of the change that made it invalid.
const REVERTIBLE: &str = "; azureway-change {\"id\":\"i\",\"from\":5,\"time\":0,\"author\":\"ana\",\
    \"team\":\"operators\",\"reason\":\"\",\"sections\":[{\"name\":\"pool main\",\
    \"before\":\"[pool main]\"}]}\n[pool main]\nlodes = 1\n";

/// A platform that returns its scripted answers in order and then stops the duty.
struct ScriptedPlatform {
    answers: Mutex<Vec<String>>,
    stop: Sender<WatchMessage>,
}

impl ScriptedPlatform {
    fn next(&self) -> std::result::Result<ObjectList, Error> {
        let mut answers = self.answers.lock().expect("the lock");
        if answers.is_empty() {
            let _ = self.stop.try_send(WatchMessage::Stop);
            return Ok(ObjectList::default());
        }
        let answer = answers.remove(0);
        let (verb, number) = answer.split_once(':').unwrap_or((&answer, "0"));
        let version = number.parse().expect("a version");
        let value = match verb {
            "good" => "; azureway-change {}\n[pool main]\n",
            "bad" => "[pool main]\nlodes = 1\n",
            "after" => REVERTIBLE,
            "fail" => return Err(Error::new(ErrorKind::Unavailable, Step::new("list"), "out")),
            _ => return Ok(ObjectList::default()),
        };
        let object = ObjectBody {
            name: DOCUMENT_NAME.to_owned(),
            version,
            value: value.to_owned(),
            deleted: false,
        };
        let objects = vec![object];
        Ok(ObjectList { version, objects })
    }
}

impl ObjectApi for ScriptedPlatform {
    fn get(&self, _: &str, _: &str) -> std::result::Result<Option<ObjectBody>, Error> {
        unreachable!("the duty lists and watches")
    }

    fn list(&self, kind: &str) -> std::result::Result<ObjectList, Error> {
        if kind == INSTANCE_KIND {
            return Ok(ObjectList::default());
        }
        self.next()
    }

    fn put(&self, _: &Put<'_>) -> std::result::Result<u64, Error> {
        unreachable!("the duty writes nothing")
    }

    fn delete(&self, _: &str, _: &str, _: u64) -> std::result::Result<(), Error> {
        unreachable!("the duty deletes nothing")
    }

    fn watch(&self, _: &str, _: u64, _: Duration) -> std::result::Result<ObjectList, Error> {
        self.next()
    }
}

/// Runs the duty and returns the versions that came into force and those that were rejected.
fn run(answers: &str) -> (String, String) {
    let (stop, watch_messages) = flume::bounded(1);
    let (admit, admitted) = flume::bounded(RING);
    let (decide, decide_messages) = flume::bounded(RING);
    let answers = answers.split_whitespace().map(str::to_owned).collect();
    let platform = ScriptedPlatform {
        answers: Mutex::new(answers),
        stop,
    };
    let (peer, peer_messages) = flume::bounded(RING);
    ConfigWatcher::new(platform, admit, decide, peer, watch_messages, 1).run();
    let (mut applied, mut rejected) = (Vec::new(), Vec::new());
    let mut sent_to_peers = Vec::new();
    for message in peer_messages.drain() {
        match message {
            PeerMessage::Configured(document) => sent_to_peers.push(document.version.to_string()),
            PeerMessage::Listed(list) => assert_eq!(list, []),
            other => panic!("unexpected {other:?}"),
        }
    }
    for message in admitted.drain() {
        match message {
            AdmitMessage::Configured(fleet) => applied.push(fleet.version.to_string()),
            other => panic!("unexpected {other:?}"),
        }
    }
    for message in decide_messages.drain() {
        match message {
            DecideMessage::Leaving(list) => assert_eq!(list, []),
            DecideMessage::ConfigRejected(version) => rejected.push(version.to_string()),
            other => panic!("unexpected {other:?}"),
        }
    }
    // Peers receive exactly the versions that came into force.
    assert_eq!(sent_to_peers, applied);
    (applied.join(" "), rejected.join(" "))
}

#[gtest]
fn only_newer_valid_versions_come_into_force() {
    for line in include_str!("../testdata/watch.txt").lines() {
        if line.starts_with('#') {
            continue;
        }
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let (applied, rejected) = run(cells[0]);
        expect_that!(applied, eq(cells[1]), "{line}");
        expect_that!(rejected, eq(cells[2].trim_matches('-')), "{line}");
    }
}
