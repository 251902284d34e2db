//! Tests of the trace format, the trace generator and the replay.

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
fn committed_traces_equal_generated_traces() {
    for case in Case::ALL {
        let generated = Generator::new(case, case.seed()).generate();
        expect_that!(generated.to_string(), eq(&committed(case)), "{case}");
    }
}

#[gtest]
fn traces_keep_their_text_when_parsed_and_printed() {
    for case in Case::ALL {
        let text = committed(case);
        let trace: Trace = text.parse().expect("a trace");
        expect_that!(trace.to_string(), eq(&text), "{case}");
    }
}

#[gtest]
fn invalid_traces_are_rejected_with_the_reason() {
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
        let parsed: anyhow::Result<Trace> = text.parse();
        let error = format!("{:#}", parsed.expect_err(text));
        expect_that!(error, contains_substring(fault));
    }
}

#[gtest]
fn replay_is_deterministic() {
    let trace: Trace = committed(Case::Crash).parse().expect("a trace");
    let replay = || Summary::new("p", &ReplayDriver::<PrefixLoad>::new(&trace).run(|_| {}));
    expect_that!(replay(), eq(&replay()));
}

#[gtest]
fn every_request_has_one_log_and_an_answer_or_refusal() {
    let trace: Trace = committed(Case::Restart).parse().expect("a trace");
    let is_request = |(_, r): &&(u64, azureway_dev::trace::Record)| {
        matches!(r, azureway_dev::trace::Record::Request(_))
    };
    let requests = trace.records.iter().filter(is_request).count();
    let tally = ReplayDriver::<RoundRobin>::new(&trace).run(|_| {});
    expect_that!(tally.logs.len(), eq(requests));
    expect_that!(tally.violations.unanswered, eq(0));
}
