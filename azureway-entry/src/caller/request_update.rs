//! What becomes of a request.

use azureway_core::prelude::{Attempt, Refusal, RequestId};
use flume::Receiver;

use super::AnswerChunk;

/// What becomes of a request, as its connection is told.
#[derive(Debug)]
pub enum RequestUpdate {
    /// A try begins.
    AttemptStarted {
        /// The try.
        attempt: Attempt,
        /// Whether the caller asked for a stream.
        streamed: bool,
        /// The ring that its answer comes through.
        chunks: Receiver<AnswerChunk>,
    },
    /// The request is refused, or its stream has ended early.
    Refused(RequestId, Refusal),
}
