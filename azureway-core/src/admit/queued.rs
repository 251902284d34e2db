//! A request that waits.

use crate::domain::Request;

/// A request that waits, with its place in the fair order.
#[derive(Clone, Debug)]
pub struct Queued {
    /// The virtual time at which the request starts, in weighted tokens.
    pub start: u64,
    /// The request.
    pub request: Request,
}
