//! What is kept of a backend server that the configuration no longer has.

use std::net::SocketAddr;

use super::{PauseHold, ServerState};
use crate::domain::{Incarnation, ServerId};

/// A backend server that the configuration no longer has, but whose answers may still arrive.
#[derive(Clone, Debug)]
pub(super) struct GoneServer {
    pub(super) id: ServerId,
    pub(super) address: SocketAddr,
    /// The latest known incarnation, or zero if none was known.
    pub(super) incarnation: Incarnation,
    pub(super) hold: PauseHold,
}

impl GoneServer {
    /// Returns what is kept of the server of `state`.
    pub(super) fn new(state: &ServerState) -> Self {
        Self {
            id: state.server.id.clone(),
            address: state.server.address,
            incarnation: state.incarnation,
            hold: state.pause,
        }
    }
}
