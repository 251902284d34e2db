//! A backend server from which blocks can be fetched.

use std::net::SocketAddr;
use std::time::Duration;

use crate::domain::TokenCount;

/// A backend server that holds blocks of a prompt, or may hold them.
#[derive(Clone, Copy, Debug)]
pub(super) struct FetchSource {
    /// The address of the server.
    pub(super) address: SocketAddr,
    /// The tokens of the prompt that it is known to hold.
    pub(super) held: TokenCount,
    /// What the transfer is known to save.
    pub(super) gain: Duration,
}
