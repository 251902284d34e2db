//! Tests of the measuring duty: metric names, values and bounded labels.

use std::thread;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::decide::{DaemonStatus, DecideMessage, Query};
use azureway_entry::meter::{ACCOUNTS_MAX, FinishedRequest, MeterDuty, MetricEvent, RingMonitor};
use azureway_objects::CallCounter;
use googletest::prelude::*;

/// Runs the duty over `events` and returns the text of the metrics.
fn scrape(events: Vec<MetricEvent>) -> String {
    let (admit, _at_admit) = flume::bounded(1);
    let (decide, at_decide) = flume::bounded(1);
    let rings = RingMonitor {
        admit: admit.downgrade(),
        decide: decide.downgrade(),
    };
    let (sender, receiver) = flume::bounded(events.len() + 1);
    let (reply, text) = flume::bounded(1);
    for event in events.into_iter().chain([MetricEvent::Scrape(reply)]) {
        sender.send(event).expect("space in the ring");
    }
    drop(sender);
    let decider = thread::spawn(move || answer_queries(&at_decide));
    MeterDuty::new(receiver, rings, CallCounter::default()).run();
    drop(decide);
    decider.join().expect("the deciding duty ends");
    text.recv().expect("an answer")
}

/// Answers status queries as the deciding duty does, until the ring closes.
fn answer_queries(messages: &flume::Receiver<DecideMessage>) {
    while let Ok(DecideMessage::Query(Query::Status(reply))) = messages.recv() {
        let late = OutcomeCount {
            requests: 3,
            worth: 210,
        };
        let overview = Overview {
            queued: [5, 8],
            retry_budget: 9,
            pauses: 6,
            paused: 2,
            announced: 2,
            counts: vec![(Rank::Urgent, RequestKind::AtMostOnce, Outcome::Late, late)],
            ..Overview::default()
        };
        let (rejected, servers) = (None, Vec::new());
        let _ = reply.send(DaemonStatus {
            at: Timestamp::ZERO,
            overview,
            rejected,
            servers,
        });
    }
}

fn finished(account: &str, stream_millis: u64) -> MetricEvent {
    MetricEvent::Finished(Box::new(FinishedRequest {
        account: AccountId::new(account),
        rank: Rank::Urgent,
        prompt: TokenCount::new(2_000),
        cached: TokenCount::new(1_250),
        expected_cached: TokenCount::new(1_500),
        output: TokenCount::new(22),
        stream_time: Duration::from_millis(stream_millis),
    }))
}

#[gtest]
fn scrape_reports_the_recorded_events() {
    let id = RequestId::new(1, 1);
    let text = scrape(vec![
        MetricEvent::RingWait(Duration::from_micros(300)),
        MetricEvent::Sent(Rank::Urgent, Duration::from_millis(3)),
        MetricEvent::FirstToken(Rank::Drafting, Duration::from_millis(900)),
        finished("wax-desk", 1_050),
        finished("wax-desk", 2_100),
        MetricEvent::Refused(RefusalReason::Overloaded),
        MetricEvent::Retried,
        MetricEvent::Cancelled(Attempt::new(id, 1)),
        MetricEvent::Rejected(ConfigVersion::new(6)),
        MetricEvent::Configured(ConfigVersion::new(7)),
    ]);
    let expected = include_str!("../testdata/metrics.txt").lines().skip(1);
    for line in expected {
        expect_that!(text.lines().any(|l| l == line), eq(true), "{line}\n{text}");
    }
}

#[gtest]
fn rejected_version_is_reported_beside_the_accepted_one() {
    let text = scrape(vec![
        MetricEvent::Configured(ConfigVersion::new(7)),
        MetricEvent::Rejected(ConfigVersion::new(9)),
    ]);
    expect_that!(text, contains_substring("azureway_config_version 7\n"));
    expect_that!(
        text,
        contains_substring("azureway_config_rejected_version 9\n")
    );
}

#[gtest]
fn accounts_beyond_the_limit_share_the_label_other() {
    let names = (0..ACCOUNTS_MAX + 50).map(|n| format!("account-{n}"));
    let text = scrape(names.map(|name| finished(&name, 100)).collect());
    let series = text
        .lines()
        .filter(|l| l.starts_with("azureway_account_requests_total"));
    expect_that!(series.count(), eq(ACCOUNTS_MAX + 1));
    let other = "azureway_account_requests_total{account=\"other\"} 50\n";
    expect_that!(text, contains_substring(other));
}
