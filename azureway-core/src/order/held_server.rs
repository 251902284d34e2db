//! The planner's record of a server that asked this entry for a pause.

use crate::domain::Timestamp;

/// A server that asked this entry for a pause. It gets one order at most until the pause ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldServer {
    /// The end of the pause.
    pub until: Timestamp,
    /// Whether the server gets no further order during the pause.
    pub ordered: bool,
}
