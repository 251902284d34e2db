//! Tests of the admitting duty.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::admit::{AdmitMessage, Admitter, Call, ReadCall, UpstreamRequest};
use azureway_entry::caller::{Head, RequestUpdate};
use azureway_entry::decide::DecideMessage;
use googletest::prelude::*;

/// The bound on a wait, so that a failing test cannot hang. No result depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);
/// The version of the configuration.
const VERSION: ConfigVersion = ConfigVersion::new(7);

/// Refuses each call, with the version of the configuration that it was read against.
struct RefuseAll;

impl ReadCall for RefuseAll {
    fn read(
        &self,
        fleet: &Fleet,
        _: &mut Call,
    ) -> std::result::Result<(Request, UpstreamRequest), Refusal> {
        let detail = fleet.version.to_string();
        Err(Refusal::not_run(RefusalReason::UnknownService, &detail))
    }

    fn read_as(
        &self,
        _: &Fleet,
        _: &AccountId,
        _: &mut Call,
    ) -> std::result::Result<Request, Refusal> {
        unreachable!("no operator asks")
    }
}

// Guards against a request that is admitted by a new configuration and refused by the deciding duty,
// which does not have the route's service or the caller's account yet.
#[gtest]
fn the_deciding_duty_has_a_configuration_before_a_request_is_read_against_it() {
    let (admit, messages) = flume::bounded(2);
    // A send on this ring ends when its message is received.
    let (decide, decided) = flume::bounded(0);
    let (meter, _events) = flume::bounded(8);
    let (updates, answers) = flume::bounded(1);
    let admitter = Admitter::new(RefuseAll, messages, decide, meter);
    thread::spawn(move || admitter.run());
    let (head, _) = Head::parse(b"GET / HTTP/1.1\r\n\r\n")
        .expect("a head")
        .expect("a complete head");
    let call = Call {
        id: RequestId::new(1, 1),
        head,
        body: Vec::new(),
        arrived: Timestamp::ZERO,
        updates,
        link: Arc::default(),
    };
    let fleet = Arc::new(Fleet::new().with_version(VERSION));
    admit
        .send(AdmitMessage::Configured(fleet))
        .expect("the duty runs");
    admit
        .send(AdmitMessage::Call(Box::new(call)))
        .expect("the duty runs");
    expect_that!(answers.is_empty(), eq(true));
    let configured = decided.recv_timeout(TEST_TIMEOUT);
    expect_that!(
        matches!(configured, Ok(DecideMessage::Configured(f)) if f.version == VERSION),
        eq(true)
    );
    let answer = answers.recv_timeout(TEST_TIMEOUT);
    let version = match answer {
        Ok(RequestUpdate::Refused(_, refusal)) => refusal.detail.to_string(),
        other => panic!("unexpected {other:?}"),
    };
    expect_that!(version, eq(&VERSION.to_string()));
}
