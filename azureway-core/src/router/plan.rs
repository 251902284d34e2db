//! What is to be tried next.

use crate::domain::{Attempt, RequestId, StreamPosition};

/// What is to be tried next for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The try.
    pub attempt: Attempt,
    /// The position to resume at.
    pub position: StreamPosition,
    /// Whether no earlier try can have run the request.
    pub untouched: bool,
    /// The earlier tries that a server refused for lack of room.
    pub bounced: u32,
}

impl Plan {
    /// Creates the plan of a first try.
    pub const fn first(id: RequestId) -> Self {
        Self {
            attempt: Attempt::new(id, 1),
            position: StreamPosition::ZERO,
            untouched: true,
            bounced: 0,
        }
    }
}
