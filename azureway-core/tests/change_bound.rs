//! Tests of the bound on when reported changes happened.

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;

/// Guards against changes that count as new because their answer was read late.
#[gtest]
fn changes_are_dated_by_earlier_answers_and_not_by_their_arrival() {
    for line in include_str!("../testdata/change_bound.txt").lines() {
        if line.starts_with('#') {
            continue;
        }
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [case, calls, expected] = cells[..] else {
            panic!("three cells: {line}");
        };
        let mut bound = ChangeBound::new(Timestamp::ZERO);
        for call in calls.split(';').filter(|c| !c.is_empty()) {
            let numbers: Vec<u64> = call
                .split_whitespace()
                .map(|n| n.parse().expect("a number"))
                .collect();
            let [started, wait, answered, changes] = numbers[..] else {
                panic!("four numbers: {call}");
            };
            let call = AnsweredCall {
                started: Timestamp::from_millis(started),
                wait: Duration::from_millis(wait),
                answered: Timestamp::from_millis(answered),
            };
            bound.record(&call, changes as usize);
        }
        let next = AnsweredCall {
            started: Timestamp::from_millis(20_000),
            wait: Duration::ZERO,
            answered: Timestamp::from_millis(30_000),
        };
        let expected = Timestamp::from_millis(expected.parse().expect("a number"));
        expect_that!(bound.record(&next, 1), eq(expected), "{case}");
    }
}
