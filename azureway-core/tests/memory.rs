//! Tests of the account of the memory that a process holds for others. The load that it answers is a
//! crowd of callers that read long answers slowly.

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;

const KIB: usize = 1024;
const MIB: usize = 1024 * KIB;

fn second(number: u64) -> Timestamp {
    Timestamp::from_micros(number * 1_000_000)
}

fn ledger() -> MemoryLedger {
    MemoryLedger::new(MemoryLimits {
        total: 8 * MIB,
        reserve: MIB,
        connections: 10,
    })
}

/// Adds a holder of `bytes`, all of which wait for its caller since `now`.
fn reader(ledger: &mut MemoryLedger, bytes: usize, now: Timestamp) -> HolderId {
    let id = ledger.open();
    assert!(ledger.grow(id, bytes), "the memory has room");
    ledger.queue(id, bytes, now);
    id
}

/// Each row: memory in megabytes, descriptors, connections in the settings; total, connections.
#[gtest]
fn the_limits_follow_from_memory_and_descriptors() {
    for line in include_str!("../testdata/memory-limits.txt").lines() {
        if line.starts_with('#') {
            continue;
        }
        let numbers = line.split('|').map(|n| n.trim().parse().expect("a number"));
        let numbers: Vec<usize> = numbers.collect();
        let [memory, files, connections, total, open] = numbers[..] else {
            panic!("five cells: {line}");
        };
        let limits = MemoryLimits::new(memory as u64, files, connections);
        expect_that!(limits.total / MIB, eq(total), "{line}");
        expect_that!(limits.connections, eq(open), "{line}");
        expect_that!(limits.total - limits.reserve, ge(8 * MIB), "{line}");
    }
}

#[gtest]
fn the_caller_that_took_nothing_for_the_longest_time_is_closed_first() {
    let mut ledger = ledger();
    let first = reader(&mut ledger, MIB, second(1));
    let second_reader = reader(&mut ledger, 2 * MIB, second(2));
    ledger.take(first, 16 * KIB, second(5));
    expect_that!(
        ledger.close_slowest(MIB, second(7)),
        some(eq(second_reader))
    );
    // What it holds is about to be released, so nobody else is closed for as much.
    expect_that!(ledger.close_slowest(2 * MIB, second(7)), none());
    expect_that!(ledger.close_slowest(3 * MIB, second(7)), some(eq(first)));
}

#[gtest]
fn of_callers_that_stall_alike_the_one_further_behind_is_closed() {
    let mut ledger = ledger();
    let _near = reader(&mut ledger, MIB, second(1));
    let far = reader(&mut ledger, 2 * MIB, second(1));
    expect_that!(ledger.close_slowest(MIB, second(3)), some(eq(far)));
}

#[gtest]
fn a_caller_that_reads_at_a_usual_pace_is_not_closed() {
    let mut ledger = ledger();
    let id = reader(&mut ledger, 4 * MIB, second(1));
    for time in 2..60 {
        ledger.take(id, 16 * KIB, second(time));
        let now = second(time) + Duration::from_millis(900);
        expect_that!(ledger.close_slowest(MIB, now), none());
    }
}

#[gtest]
fn a_caller_that_little_waits_for_is_not_closed() {
    let mut ledger = ledger();
    reader(&mut ledger, MemoryLedger::BEHIND - 1, second(1));
    expect_that!(ledger.close_slowest(MIB, second(100)), none());
    expect_that!(ledger.next_stall(MIB, second(100)), none());
}

#[gtest]
fn a_caller_that_caught_up_counts_anew() {
    let mut ledger = ledger();
    let id = reader(&mut ledger, MIB, second(1));
    ledger.take(id, MIB, second(2));
    ledger.queue(id, MIB, second(50));
    expect_that!(ledger.close_slowest(MIB, second(50)), none());
    expect_that!(
        ledger.next_stall(MIB, second(50)),
        some(eq(MemoryLedger::MIN_STALL))
    );
}

#[gtest]
fn a_request_that_is_still_sent_is_not_closed_for_another() {
    let mut ledger = ledger();
    let id = ledger.open();
    expect_true!(ledger.grow(id, 4 * MIB));
    expect_that!(ledger.close_slowest(MIB, second(100)), none());
}

#[gtest]
fn large_holders_leave_a_reserve_to_small_ones() {
    let mut ledger = ledger();
    let large = ledger.open();
    expect_true!(ledger.grow(large, 7 * MIB));
    expect_false!(ledger.grow(large, 1));
    let small = ledger.open();
    expect_true!(ledger.grow(small, MemoryLedger::SMALL));
    expect_false!(ledger.grow(small, 1));
    expect_that!(ledger.held(), eq(7 * MIB + MemoryLedger::SMALL));
}

#[gtest]
fn what_is_released_can_be_held_again() {
    let mut ledger = ledger();
    let first = reader(&mut ledger, 7 * MIB, second(1));
    let other = ledger.open();
    expect_false!(ledger.grow(other, MIB));
    ledger.shrink(first, MIB);
    expect_true!(ledger.grow(other, MIB));
    expect_that!(ledger.close_slowest(MIB, second(9)), some(eq(first)));
    expect_false!(ledger.grow(first, 1));
    ledger.close(first);
    expect_that!(ledger.held(), eq(MIB));
    // The memory of the closed caller no longer counts as about to be released.
    let slow = reader(&mut ledger, MIB, second(9));
    expect_that!(ledger.close_slowest(MIB, second(12)), some(eq(slow)));
}

// Guards against bounds each of which holds while all of them together exceed the memory of the instance.
#[gtest]
fn the_limits_of_callers_and_of_own_work_fit_together() {
    for memory in [88, 110, 128, 512] {
        let (callers, own) = (
            MemoryLimits::new(memory, 4_100, 900),
            OwnLimits::new(memory),
        );
        let all = callers.total + own.calls + own.index + own.objects;
        let bytes = usize::try_from(memory * 1_000_000).expect("a size");
        expect_that!(all + 16 * MIB, le(bytes), "{memory} MB");
    }
}
