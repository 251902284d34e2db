//! Tests of a platform outage: running entry instances go on serving, and refusals state truthfully
//! whether the request ran.

mod support;

use std::time::Duration;

use azureway_config::settings::{Bounds, EntrySettings};
use azureway_core::prelude::{InstanceId, ZoneId};
use azureway_dev::platform::PlatformFaults;
use azureway_entry::daemon::Entry;
use googletest::prelude::*;
use support::{KEY, chat, post, system};

fn outage(outage: bool) -> PlatformFaults {
    PlatformFaults {
        outage,
        ..PlatformFaults::new()
    }
}

/// Sends a chat request to an entry instance and returns the response status and body.
fn send_chat(entry: &Entry) -> (u16, String) {
    let url = format!("http://{}/v1/chat/completions", entry.address());
    let request = minreq::post(url).with_timeout(support::TEST_TIMEOUT.as_secs());
    let request = request.with_header("authorization", format!("Bearer {KEY}"));
    let answer = request.with_body(chat(false, 2)).send().expect("an answer");
    (
        answer.status_code,
        answer.as_str().expect("text").to_owned(),
    )
}

#[gtest]
fn a_running_entry_serves_during_an_outage() {
    let system = system(1, Duration::ZERO, &Bounds::new());
    system.platform.set_faults(outage(true));
    for _ in 0..5 {
        expect_that!(
            post(&system, "/v1/chat/completions", &chat(false, 2)).status_code,
            eq(200)
        );
    }
    system.drain();
}

#[gtest]
fn an_entry_started_in_an_outage_refuses_as_not_run_and_serves_afterwards() {
    let system = system(1, Duration::ZERO, &Bounds::new());
    system.platform.set_faults(outage(true));
    let (instance, zone) = (InstanceId::new("late"), ZoneId::new("kranj-a"));
    let settings = EntrySettings::new(instance, zone, system.platform_address());
    let entry = Entry::start(&settings).expect("the entry starts");
    let (status, text) = send_chat(&entry);
    expect_that!(status, eq(503));
    expect_that!(text, contains_substring("\"not_run\":true"));
    system.platform.set_faults(outage(false));
    entry.wait_ready();
    expect_that!(send_chat(&entry).0, eq(200));
    entry.drain();
    system.drain();
}
