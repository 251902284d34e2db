//! Tests of which failed calls show that the platform was disturbed, and until when.

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;

/// Guards against older weights that outlast their grace period because this process was paused, an
/// answer was lost or the platform limited this entry alone.
#[gtest]
fn several_failures_in_a_row_show_a_disturbance() {
    for line in include_str!("../testdata/disturbance.txt").lines() {
        if line.starts_with('#') {
            continue;
        }
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [case, calls, expected] = cells[..] else {
            panic!("three cells: {line}");
        };
        let mut meter = DisturbanceMeter::new(Duration::from_secs(1));
        let ended = calls.split(';').filter_map(|call| {
            let words: Vec<&str> = call.split_whitespace().collect();
            let millis = |index: usize| words[index].parse::<u64>().expect("a number");
            let kind = match words[0] {
                "answered" => return meter.record_success(),
                "unavailable" => ErrorKind::Unavailable,
                "limited" => ErrorKind::Limited,
                "restored" => ErrorKind::Restored,
                word => panic!("unknown outcome {word}"),
            };
            let call = AnsweredCall {
                started: Timestamp::from_millis(millis(1)),
                wait: Duration::ZERO,
                answered: Timestamp::from_millis(millis(2)),
            };
            meter.record_failure(kind, &call);
            None
        });
        let ended: Vec<_> = ended
            .map(|d| {
                let [since, until] = [d.since, d.until].map(|t| t.as_micros() / 1_000);
                format!("{since} {until} {}", d.restored)
            })
            .collect();
        expect_that!(ended.join("; "), eq(expected), "{case}");
    }
}
