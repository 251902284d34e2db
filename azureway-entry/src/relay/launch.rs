//! The way of a try to a backend server.

use std::sync::Arc;

use azureway_core::prelude::{Attempt, Dispatch};
use flume::Receiver;

use crate::admit::UpstreamRequest;
use crate::caller::AnswerChunk;

/// Starts a duty for each try, and stops those whose callers are gone.
pub trait Launch {
    /// Starts a try and returns the ring of its answer.
    fn launch(&mut self, order: Dispatch, upstream: Arc<UpstreamRequest>) -> Receiver<AnswerChunk>;

    /// Stops a try, if it still runs.
    fn cancel(&mut self, attempt: Attempt);
}
