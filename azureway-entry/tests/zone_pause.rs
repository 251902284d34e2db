//! A test of a pause of this process while a reader of the zone is asked. It has a program of its own, since the pause
//! stops all threads.

use std::process::{Command, id};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use azureway_entry::clock::Clock;
use azureway_entry::peer::PeerMessage;
use azureway_entry::site::SiteKind;
use azureway_entry::zone::{ZoneCache, ZoneChanges, ZoneClient, ZoneLink};
use azureway_wire::object::ObjectList;
use googletest::prelude::*;

/// Stops this process now, and lets it go on after a time beyond the limit of a request.
fn pause() {
    let script = "kill -STOP $0; sleep 5; kill -CONT $0";
    let mut pausing = Command::new("sh");
    pausing.args(["-c", script, &id().to_string()]);
    let status = pausing.status().expect("a shell");
    assert!(status.success(), "the process goes on");
}

/// Guards against an entry that was frozen and dates the weights that were named meanwhile by its last answer from
/// before, seconds too early, though its reader knows better.
#[gtest]
fn a_reader_is_asked_again_after_a_pause_of_this_process() {
    let clock = Clock::new();
    let (peer, requests) = flume::bounded(1);
    let mut link = ZoneLink::new(ZoneClient::new(peer), Arc::new(ZoneCache::new(clock)));
    let reader = thread::spawn(move || {
        let held = requests.recv();
        pause();
        let resumed = clock.now();
        let Ok(PeerMessage::AskZone(_, reply)) = requests.recv() else {
            panic!("the reader is asked again");
        };
        let changes = ZoneChanges {
            list: ObjectList::default(),
            whole: false,
            age: Duration::ZERO,
            held: Duration::ZERO,
            changed: None,
            recovered: None,
        };
        let _ = reply.send(Some(Ok(changes)));
        drop(held);
        resumed
    });
    let answer = link.ask(SiteKind::Weights, None, 10, None, clock);
    let Some((asked, _)) = answer else {
        panic!("the reader answers");
    };
    let resumed = reader.join().expect("the reader ends");
    // Its ages count from the second request.
    expect_that!(asked + Duration::from_millis(500), ge(resumed));
}
