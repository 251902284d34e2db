//! Tests of when the site duty builds a fleet, and of what the fleet carries.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::admit::AdmitMessage;
use azureway_entry::clock::Clock;
use azureway_entry::routed::ServingState;
use azureway_entry::site::{SiteDuty, SiteUpdate};
use flume::Receiver;
use googletest::prelude::*;

/// The time limit of a wait for a fleet.
const LIMIT: Duration = Duration::from_secs(10);

fn document(version: u64) -> SiteUpdate {
    SiteUpdate::Document(Box::new(SiteDocument {
        version: ConfigVersion::new(version),
        ..SiteDocument::default()
    }))
}

fn fleet(admitted: &Receiver<AdmitMessage>) -> Arc<Fleet> {
    match admitted.recv_timeout(LIMIT) {
        Ok(AdmitMessage::Configured(fleet)) => fleet,
        other => panic!("a fleet is built: {other:?}"),
    }
}

/// Guards against a fleet for every answer without changes, which each duty would have to adopt.
#[gtest]
fn the_time_of_the_list_travels_with_the_next_fleet() {
    let (updates, update_rx) = flume::bounded(0);
    let (admit, admitted) = flume::bounded(64);
    let (decide, _decide_rx) = flume::bounded(8);
    let state = SiteState::new(Vec::new(), Duration::ZERO);
    let (serving, clock) = (ServingState::new(), Clock::new());
    let duty = SiteDuty::new(state, update_rx, admit, decide, serving, clock);
    let thread = thread::spawn(move || duty.run());
    let send = |update| updates.send_timeout(update, LIMIT).expect("the duty runs");
    send(document(1));
    expect_that!(fleet(&admitted).listed_until, eq(Timestamp::ZERO));
    for millis in 1..=20 {
        send(SiteUpdate::ListedUntil(
            Timestamp::from_millis(millis),
            None,
        ));
    }
    send(document(2));
    expect_that!(
        fleet(&admitted).listed_until,
        eq(Timestamp::from_millis(20))
    );
    drop(updates);
    thread.join().expect("the duty ends");
    expect_that!(admitted.try_recv().is_err(), eq(true));
}
