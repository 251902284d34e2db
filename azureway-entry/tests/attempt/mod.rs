//! Fixtures of an attempt of the exchange.
#![expect(unreachable_pub, reason = "a test's module has no outside")]

use std::net::SocketAddr;
use std::time::Duration;

use azureway_core::prelude::*;

/// Returns the dispatch of a first attempt to the server at `address`.
pub fn dispatch(address: SocketAddr, position: StreamPosition) -> Dispatch {
    Dispatch {
        attempt: Attempt::new(RequestId::new(1, 1), 1),
        server: ServerId::new("s"),
        address,
        rank: Rank::Urgent,
        salt: Salt::from_number(1),
        incarnation: None,
        weights: WeightsVersion::new(1),
        position,
        cached: TokenCount::ZERO,
        fetch_from: None,
        save_to: None,
        expected_ttft: Duration::ZERO,
        start_limit: None,
    }
}

/// Returns a failure in the notation of the tables.
pub fn describe_failure(failure: &Failure) -> String {
    let position = match failure.position.get() {
        0 => String::new(),
        position => format!(" {position}"),
    };
    format!("{:?} {:?}{position}", failure.kind, failure.sent)
}
