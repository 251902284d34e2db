//! Detection of duplicate and missing events in a stream that several attempts may serve.

use super::Delivery;
use crate::domain::{Attempt, StreamPosition};

/// The position up to which a stream was forwarded to its caller, and the attempt that serves it.
#[derive(Clone, Debug)]
pub struct StreamProgress {
    attempt: Attempt,
    next: StreamPosition,
}

impl StreamProgress {
    /// Creates the progress of a stream that `attempt` starts.
    pub const fn new(attempt: Attempt) -> Self {
        Self {
            attempt,
            next: StreamPosition::ZERO,
        }
    }

    /// Returns the position of the next event to forward.
    pub const fn next(&self) -> StreamPosition {
        self.next
    }

    /// Switches to a later attempt of the same request. Events of earlier attempts become stale.
    pub fn switch_to(&mut self, attempt: Attempt) {
        if attempt.id == self.attempt.id && attempt.number > self.attempt.number {
            self.attempt = attempt;
        }
    }

    /// Returns how to handle an event, and counts it as forwarded if it is the next one.
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
