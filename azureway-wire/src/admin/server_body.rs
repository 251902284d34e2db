//! What an entry knows of a backend server.

use azureway_core::prelude::{ServerState, Timestamp};
use serde::{Deserialize, Serialize};

/// What an entry knows of a backend server.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ServerBody {
    /// The name.
    pub name: Box<str>,
    /// The pool.
    pub pool: Box<str>,
    /// The availability zone.
    pub zone: Box<str>,
    /// The address that it serves on.
    pub address: Box<str>,
    /// `live`, `suspect` or `leaving`.
    pub health: Box<str>,
    /// The incarnation that was last heard of; 0 for none.
    pub incarnation: u64,
    /// The weights version that it has loaded, once it is known.
    pub weights: Option<u64>,
    /// The requests that it runs at once.
    pub slots: u32,
    /// The requests of this entry in flight there.
    pub flights: u32,
    /// The requests that it runs or holds, as far as they are known.
    pub load: u32,
    /// The prompt tokens ahead of a new request, as far as they are known.
    pub ahead: u64,
}

impl ServerBody {
    /// Creates what is known of a server at `now`.
    pub fn new(state: &ServerState, now: Timestamp) -> Self {
        let server = &state.server;
        Self {
            name: server.id.as_str().into(),
            pool: server.pool.as_str().into(),
            zone: server.zone.as_str().into(),
            address: server.address.to_string().into(),
            health: state.health().as_str().into(),
            incarnation: state.incarnation.get(),
            weights: state.weights.map(|w| w.get()),
            slots: server.slots,
            flights: state.in_flight(),
            load: state.load(now),
            ahead: state.pending_tokens().get(),
        }
    }
}
