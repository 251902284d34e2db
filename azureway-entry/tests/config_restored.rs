//! Tests of the watcher of the document when another of its calls learns of a restore.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::watch::{ConfigWatcher, WatchMessage};
use azureway_objects::{ObjectApi, Put};
use azureway_wire::instance::INSTANCE_KIND;
use azureway_wire::object::{ObjectBody, ObjectList};
use flume::Sender;
use googletest::prelude::*;

type CallResult<T> = std::result::Result<T, Error>;

/// A platform that is restored before the third list of instances, and stops the duty at the next call
/// for the document.
struct RestoredPlatform {
    lists: Mutex<u32>,
    calls: Arc<Mutex<Vec<&'static str>>>,
    stop: Sender<WatchMessage>,
}

impl RestoredPlatform {
    fn read_document(&self, call: &'static str) -> CallResult<ObjectList> {
        self.calls.lock().expect("the lock").push(call);
        if *self.lists.lock().expect("the lock") >= 3 {
            let _ = self.stop.try_send(WatchMessage::Stop);
        }
        Ok(ObjectList {
            version: 7,
            objects: Vec::new(),
        })
    }
}

impl ObjectApi for RestoredPlatform {
    fn get(&self, _: &str, _: &str) -> CallResult<Option<ObjectBody>> {
        unreachable!("the duty lists and watches")
    }

    fn list(&self, kind: &str) -> CallResult<ObjectList> {
        if kind != INSTANCE_KIND {
            return self.read_document("list");
        }
        let mut lists = self.lists.lock().expect("the lock");
        *lists += 1;
        match *lists {
            3 => {
                let step = Step::new("list objects");
                Err(Error::new(ErrorKind::Restored, step, "the era 1 began"))
            }
            _ => Ok(ObjectList::default()),
        }
    }

    fn put(&self, _: &Put<'_>) -> CallResult<u64> {
        unreachable!("the duty writes nothing")
    }

    fn delete(&self, _: &str, _: &str, _: u64) -> CallResult<()> {
        unreachable!("the duty deletes nothing")
    }

    fn watch(&self, _: &str, _: u64, _: Duration) -> CallResult<ObjectList> {
        self.read_document("watch")
    }
}

/// Guards against a document that changed in the restored store and is never read: the list of
/// instances learns of the restore, and the document is watched from the version of the era before.
#[gtest]
fn the_document_is_listed_after_the_list_of_instances_learns_of_a_restore() {
    let (stop, messages) = flume::bounded(1);
    // Nobody receives what the duty sends.
    let (admit, decide, peer) = (
        flume::bounded(1).0,
        flume::bounded(1).0,
        flume::bounded(1).0,
    );
    let calls = Arc::default();
    let platform = RestoredPlatform {
        lists: Mutex::default(),
        calls: Arc::clone(&calls),
        stop,
    };
    ConfigWatcher::new(platform, admit, decide, peer, messages, 1)
        .with_list_interval(Duration::ZERO)
        .run();
    let calls = calls.lock().expect("the lock").clone();
    expect_that!(calls, elements_are![eq(&"list"), eq(&"watch"), eq(&"list")]);
}
