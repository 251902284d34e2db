//! What the index follows of one backend server.

use super::EventCursor;
use crate::domain::Incarnation;

/// What the index follows of one backend server: how far its events were heard, and the
/// generation that entries must have to hold.
///
/// A new generation makes every entry of the server unreachable in one step.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TrackedServer {
    /// How far the events were heard.
    pub cursor: EventCursor,
    /// The generation of the entries that hold.
    pub generation: u32,
    /// Whether all that the server holds has been heard.
    pub complete: bool,
}

impl TrackedServer {
    /// Creates a follower that has heard nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Drops all entries and starts anew at event `next` of `incarnation`.
    pub fn reset(&mut self, incarnation: Incarnation, next: u64, complete: bool) {
        self.cursor.reset(incarnation, next);
        self.generation = self.generation.wrapping_add(1);
        self.complete = complete;
    }

    /// Tells whether entries of `incarnation` can hold. None does for an unknown one.
    pub fn is_current(&self, incarnation: Incarnation) -> bool {
        incarnation > Incarnation::ZERO && incarnation == self.cursor.incarnation()
    }
}
