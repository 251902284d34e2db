//! The interface that the deciding duty requires of a relay: starting and cancelling attempts.

use std::sync::Arc;

use azureway_core::prelude::{Attempt, Dispatch, Recall};
use flume::Receiver;

use crate::admit::UpstreamRequest;
use crate::caller::AnswerChunk;

/// Starts a thread for each attempt and cancels attempts whose callers have disconnected.
pub trait Launch {
    /// Starts an attempt and returns the ring that carries the chunks of its answer.
    fn launch(
        &mut self,
        dispatch: Dispatch,
        upstream: Arc<UpstreamRequest>,
    ) -> Receiver<AnswerChunk>;

    /// Cancels an attempt if it still runs.
    fn cancel(&mut self, attempt: Attempt);

    /// Cancels an attempt unless its answer has begun for the cause of the recall. The attempt is then
    /// reported as failed with
    /// [`FailureKind::Recalled`](azureway_core::prelude::FailureKind::Recalled).
    fn recall(&mut self, recall: &Recall);
}
