//! Traces and their replay.

use azureway_core::prelude::{PrefixLoad, RoundRobin};
use azureway_dev::generate::{Case, Generator};
use azureway_dev::replay::{ReplayDriver, Summary};
use azureway_dev::trace::Trace;
use googletest::prelude::*;

/// The folder of the committed traces.
const TRACES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../testdata/traces");

/// Returns the text of the committed trace of a case.
fn committed(case: Case) -> String {
    let file = format!("{TRACES}/{case}.trace");
    std::fs::read_to_string(&file).expect(&file)
}

#[gtest]
fn the_committed_traces_are_what_the_generator_makes() {
    for case in Case::ALL {
        let made = Generator::new(case, case.seed()).generate();
        expect_that!(made.to_string(), eq(&committed(case)), "{case}");
    }
}

#[gtest]
fn a_trace_is_read_as_it_was_written() {
    for case in Case::ALL {
        let text = committed(case);
        let trace: Trace = text.parse().expect("a trace");
        expect_that!(trace.to_string(), eq(&text), "{case}");
    }
}

#[gtest]
fn a_trace_with_a_fault_is_not_read() {
    let cases = [
        ("seed x", "line 1"),
        ("level a 1\n5 ask acct advice 1 2 3 b 4", "not defined"),
        ("5 leave e\n4 leave e", "not in the order of time"),
        ("5 vanish e", "unknown type of record"),
        (
            "level a 1\n5 ask acct singing 1 2 3 a 4",
            "unknown kind of request",
        ),
        ("5 ask acct advice", "seven words"),
    ];
    for (text, fault) in cases {
        let read: anyhow::Result<Trace> = text.parse();
        let error = format!("{:#}", read.expect_err(text));
        expect_that!(error, contains_substring(fault));
    }
}

#[gtest]
fn two_replays_count_the_same() {
    let trace: Trace = committed(Case::Crash).parse().expect("a trace");
    let play = || Summary::new("p", &ReplayDriver::<PrefixLoad>::new(&trace).play(|_| {}));
    expect_that!(play(), eq(&play()));
}

#[gtest]
fn every_request_is_counted_once() {
    let trace: Trace = committed(Case::Restart).parse().expect("a trace");
    let asked = |(_, r): &&(u64, azureway_dev::trace::Record)| {
        matches!(r, azureway_dev::trace::Record::Request(_))
    };
    let asks = trace.records.iter().filter(asked).count();
    let tally = ReplayDriver::<RoundRobin>::new(&trace).play(|_| {});
    expect_that!(tally.logs.len(), eq(asks));
    expect_that!(tally.violations.unanswered, eq(0));
}
