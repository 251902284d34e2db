//! How far a stream has been passed on.

use super::Delivery;
use crate::domain::{Attempt, StreamPosition};

/// How far a stream has been passed on to its caller.
#[derive(Clone, Debug)]
pub struct StreamProgress {
    attempt: Attempt,
    next: StreamPosition,
}

impl StreamProgress {
    /// Creates the progress of a stream that `attempt` begins.
    pub const fn new(attempt: Attempt) -> Self {
        Self {
            attempt,
            next: StreamPosition::ZERO,
        }
    }

    /// Returns the position of the next event to pass on.
    pub const fn next(&self) -> StreamPosition {
        self.next
    }

    /// Follows a later try from now on. Earlier ones become stale.
    pub fn switch_to(&mut self, attempt: Attempt) {
        if attempt.id == self.attempt.id && attempt.number > self.attempt.number {
            self.attempt = attempt;
        }
    }

    /// Judges an event, and counts it as passed on if it is the next one.
    pub fn accept(&mut self, attempt: Attempt, position: StreamPosition) -> Delivery {
        if attempt != self.attempt || position < self.next {
            return Delivery::Stale;
        }
        if position > self.next {
            return Delivery::Gap;
        }
        self.next = self.next.next();
        Delivery::Next
    }
}
