//! Fixture of an order to load weights.
#![expect(unreachable_pub, reason = "a test's module has no outside")]

use std::net::SocketAddr;

use azureway_core::prelude::*;

/// Returns an order to the server at `address`.
pub fn load_order(address: SocketAddr) -> LoadOrder {
    LoadOrder {
        server: ServerId::new("s"),
        address,
        fenced: true,
        model: None,
        weights: WeightsVersion::new(1),
        mode: LoadMode::Drain,
        config: ConfigVersion::new(1),
        incarnation: Incarnation::ZERO,
        accepted: 0,
        repeated: false,
    }
}
