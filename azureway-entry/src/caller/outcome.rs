//! What becomes of a request.

use azureway_core::prelude::{Attempt, Refusal, RequestId, StreamPosition};
use flume::Receiver;

use super::AnswerChunk;

/// What becomes of a request, as its connection is told.
#[derive(Debug)]
pub enum Outcome {
    /// A try begins at a position; its answer comes through the ring.
    Attached(Attempt, StreamPosition, Receiver<AnswerChunk>),
    /// The request is refused, or its stream has ended early.
    Refused(RequestId, Refusal),
}
