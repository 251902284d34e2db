//! One element of [`StatusBody`](super::StatusBody), which describes one server.

use azureway_core::prelude::{ServerState, Timestamp};
use serde::{Deserialize, Serialize};

/// The state of a backend server as an entry instance knows it.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ServerBody {
    /// The name of the server.
    pub name: Box<str>,
    /// The pool that the server belongs to.
    pub pool: Box<str>,
    /// The availability zone of the server.
    pub zone: Box<str>,
    /// The address that the server accepts requests on.
    pub address: Box<str>,
    /// The health of the server: `live`, `suspect` or `leaving`.
    pub health: Box<str>,
    /// The latest known incarnation; 0 if none is known.
    pub incarnation: u64,
    /// The weights version that the server has loaded, if known.
    pub weights: Option<u64>,
    /// The number of requests that the server runs at once.
    pub slots: u32,
    /// The number of this entry instance's requests in flight at the server.
    pub flights: u32,
    /// The number of requests that the server runs or has queued, as far as known.
    pub load: u32,
    /// The number of prompt tokens ahead of a new request, as far as known.
    pub ahead: u64,
}

impl ServerBody {
    /// Creates the body from the state of a server at `now`.
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
