//! Tests that the platform's list of instances reaches the routing decisions.

mod support;

use std::time::Duration;

use azureway_config::settings::{Bounds, EntrySettings};
use azureway_core::prelude::{InstanceId, ZoneId};
use azureway_entry::daemon::Entry;
use azureway_wire::error::ErrorBody;
use googletest::prelude::*;
use support::{KEY, TEST_TIMEOUT, system};

/// An entry instance must send no request to a plain service that the list names as leaving, even
/// if it is the only one.
#[gtest]
fn plain_service_listed_as_leaving_gets_no_requests() {
    let system = system(1, Duration::ZERO, &Bounds::new());
    let body = r#"{"role":"backend","zone":"kranj-a","address":"127.0.0.1:1","leaving":true}"#;
    system.platform.seed("instance", "kranj-a-till", body);
    let (instance, zone) = (InstanceId::new("late"), ZoneId::new("kranj-a"));
    let settings = EntrySettings::new(instance, zone, system.platform_address());
    // The entry instance reads the list before the document, so the first configuration includes
    // it.
    let entry = Entry::start(&settings).expect("the entry starts");
    entry.wait_ready();
    let url = format!("http://{}/services/orders/new", entry.address());
    let request = minreq::post(url)
        .with_timeout(TEST_TIMEOUT.as_secs())
        .with_body("order 17");
    let request = request.with_header("azureway-deadline-ms", "200");
    let request = request.with_header("authorization", format!("Bearer {KEY}"));
    let answer = request.send().expect("an answer");
    let refusal: ErrorBody = serde_json::from_slice(answer.as_bytes()).expect("a refusal");
    expect_that!(refusal.error.not_run, eq(true));
    expect_that!(system.plain_services[0].run_counts().max_runs(), eq(0));
    entry.drain();
    system.drain();
}
