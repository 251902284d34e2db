//! The state that decides which index records of a backend server are valid.

use super::EventCursor;
use crate::domain::Incarnation;

/// The index's state of one backend server: the position in its events and the generation of its
/// valid records.
///
/// Starting a new generation invalidates every record of the server in one step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrackedServer {
    /// The position in the server's cache events.
    pub cursor: EventCursor,
    /// The generation of the records that are valid.
    pub generation: u32,
    /// Whether the index has received the whole content of the cache.
    pub complete: bool,
}

impl TrackedServer {
    /// Creates the state of a server that has sent no events.
    pub fn new() -> Self {
        Self::default()
    }

    /// Invalidates all records and restarts at event `next` of `incarnation`.
    pub fn reset(&mut self, incarnation: Incarnation, next: u64, complete: bool) {
        self.cursor.reset(incarnation, next);
        self.generation = self.generation.wrapping_add(1);
        self.complete = complete;
    }

    /// Returns whether records of `incarnation` can be valid. Those of an unknown one never are.
    pub fn is_current(&self, incarnation: Incarnation) -> bool {
        incarnation > Incarnation::ZERO && incarnation == self.cursor.incarnation()
    }
}
