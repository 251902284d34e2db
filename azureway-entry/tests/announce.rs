//! Tests of the bound on announcements to a peer.

use azureway_core::prelude::InstanceId;
use azureway_entry::peer::CallPermits;
use googletest::prelude::*;

// Guards against an instance that starts a call for each announcement to each peer, whether or not
// earlier ones were answered, until its memory is exhausted.
#[gtest]
fn announcements_to_a_peer_that_does_not_answer_are_bounded() {
    let (slow, other) = (InstanceId::new("slow"), InstanceId::new("other"));
    let mut permits = CallPermits::new();
    let mut granted: Vec<_> = (0..100).filter_map(|_| permits.acquire(&slow)).collect();
    expect_that!(granted.len(), all![gt(0), le(8)]);
    expect_that!(permits.acquire(&other).is_some(), eq(true));
    granted.pop();
    expect_that!(permits.acquire(&slow).is_some(), eq(true));
}
