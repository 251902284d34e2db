//! One try of a request at one backend server.

use std::fmt;

use super::RequestId;

/// One try of a request. Answers carry it, so that a late one is told from the current one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt {
    /// The request.
    pub id: RequestId,
    /// The number of the try, from 1.
    pub number: u32,
}

impl Attempt {
    /// Creates try `number` of request `id`.
    pub const fn new(id: RequestId, number: u32) -> Self {
        Self { id, number }
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.id, self.number)
    }
}
