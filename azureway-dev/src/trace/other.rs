//! A request that another entry sent to an engine.

use std::fmt;

use super::Ask;

/// A request that another entry sent to an engine of its own choice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Other {
    /// The name of the engine.
    pub server: String,
    /// The request.
    pub ask: Ask,
}

impl fmt::Display for Other {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.server, self.ask)
    }
}
