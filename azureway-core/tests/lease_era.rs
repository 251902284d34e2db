//! Tests of a lease whose store is restored again and again.

use std::time::Duration;

use azureway_core::prelude::*;
use googletest::prelude::*;

/// The term of the lease.
const TERM: Duration = Duration::from_secs(3);

fn millis(n: u64) -> Timestamp {
    Timestamp::from_millis(n)
}

/// Handles a reply at a time, in an era of the store.
fn reply(lease: &mut Lease, era: u64, reply: LeaseReply, at: u64) {
    lease.enter_era(Some(StoreEra::new(era)), millis(at));
    lease.handle_reply(&reply, millis(at));
}

/// Returns a lease that is held from time zero, in era 0.
fn held_lease() -> Lease {
    let config = LeaseConfig::new()
        .with_term(TERM, TERM / 3)
        .with_cooldown(TERM);
    let mut lease = Lease::new(config, InstanceId::new("a"), 1);
    lease.next(millis(0));
    reply(&mut lease, 0, LeaseReply::Absent, 0);
    lease.next(millis(0));
    reply(&mut lease, 0, LeaseReply::Written(5), 1);
    lease
}

/// Guards against a holder that waits for its own term after a second restore, and gives no orders
/// meanwhile.
#[gtest]
fn a_holder_goes_on_after_two_restores_within_its_term() {
    let mut lease = held_lease();
    lease.next(millis(1_000));
    reply(&mut lease, 1, LeaseReply::Restored, 1_001);
    reply(&mut lease, 2, LeaseReply::Restored, 1_300);
    expect_that!(lease.next(millis(1_600)), eq(&LeaseStep::Read));
    reply(&mut lease, 2, LeaseReply::Absent, 1_601);
    let step = lease.next(millis(1_601));
    expect_that!(step, matches_pattern!(LeaseStep::Write(eq(&0), _)));
}

/// Guards against a lease that calls the store without a pause if its era changes with each answer.
#[gtest]
fn each_restore_is_followed_by_a_pause() {
    let mut lease = held_lease();
    lease.next(millis(1_000));
    for era in 1..20 {
        reply(&mut lease, era, LeaseReply::Restored, 1_001);
        let step = lease.next(millis(1_001));
        expect_that!(step, matches_pattern!(LeaseStep::Wait(_)), "era {era}");
    }
}
