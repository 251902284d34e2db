//! The deciding duty's report of a request to its caller's connection.

use azureway_core::prelude::{Attempt, Refusal, RequestId};
use flume::Receiver;

use super::AnswerChunk;

/// An update of a request, which the deciding duty sends to the caller's connection.
#[derive(Debug)]
pub enum RequestUpdate {
    /// An attempt has started.
    AttemptStarted {
        /// The attempt.
        attempt: Attempt,
        /// Whether the caller asked for a stream.
        streamed: bool,
        /// The ring that carries the chunks of its answer.
        chunks: Receiver<AnswerChunk>,
    },
    /// The request was refused, or its stream ended early.
    Refused(RequestId, Refusal),
}
