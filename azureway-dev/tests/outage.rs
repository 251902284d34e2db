//! The platform is away: what runs goes on, and nothing untrue is said.

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

/// Asks an entry for an answer and returns its status and its text.
fn ask(entry: &Entry) -> (u16, String) {
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
fn an_entry_goes_on_serving_through_an_outage() {
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
fn an_entry_that_starts_alone_in_an_outage_refuses_truly_and_serves_after_it() {
    let system = system(1, Duration::ZERO, &Bounds::new());
    system.platform.set_faults(outage(true));
    let (instance, zone) = (InstanceId::new("late"), ZoneId::new("kranj-a"));
    let settings = EntrySettings::new(instance, zone, system.platform_address());
    let entry = Entry::start(&settings).expect("the entry starts");
    let (status, text) = ask(&entry);
    expect_that!(status, eq(503));
    expect_that!(text, contains_substring("\"not_run\":true"));
    system.platform.set_faults(outage(false));
    entry.wait_ready();
    expect_that!(ask(&entry).0, eq(200));
    entry.drain();
    system.drain();
}
