//! The identifier by which the answers of backend servers are related to requests.

use std::fmt;

use super::RequestId;

/// One attempt to serve a request at one backend server. Answers carry it, so that an answer to
/// an earlier attempt is not taken for one to the current attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Attempt {
    /// The request that is attempted.
    pub id: RequestId,
    /// The number of the attempt, counted from 1.
    pub number: u32,
}

impl Attempt {
    /// Creates attempt `number` of request `id`.
    pub const fn new(id: RequestId, number: u32) -> Self {
        Self { id, number }
    }
}

impl fmt::Display for Attempt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.id, self.number)
    }
}
