//! Reports what a backend server states of itself with the head of an answer.

use azureway_core::prelude::{Incarnation, LoadSample, PauseNotice, ServerStatus, ServerUpdate};

use super::{AnswerMetadata, BackendDialect, ExchangeAttempt};
use crate::decide::DecideMessage;

impl<D: BackendDialect> ExchangeAttempt<D> {
    /// Reports the metadata of an answer to the deciding duty, before anything of the answer reaches the
    /// caller: what the caller sends next is decided with it.
    pub(super) fn report_metadata(&self, metadata: &AnswerMetadata<'_>) {
        // A send fails only if the deciding duty has ended.
        if metadata.leaving {
            let _ = self.decide.send(DecideMessage::Announced(self.leaving()));
        }
        if let Some(pause) = metadata.pause {
            let _ = self.decide.send(DecideMessage::Paused(PauseNotice {
                server: self.dispatch.server.clone(),
                incarnation: self.dispatch.incarnation,
                pause,
            }));
        }
        let (load, weights, rate_limit) = (metadata.load, metadata.weights, metadata.rate_limit);
        let pace = metadata.pace;
        if load.is_some() || pace.is_some() || weights.is_some() || rate_limit.is_some() {
            let _ = self.decide.send(DecideMessage::LoadSample(LoadSample {
                server: self.dispatch.server.clone(),
                load,
                pace,
                weights,
                rate_limit,
            }));
        }
    }

    /// Returns the update that the incarnation that the attempt was sent to leaves.
    fn leaving(&self) -> ServerUpdate {
        ServerUpdate {
            server: self.dispatch.server.clone(),
            incarnation: self.dispatch.incarnation.unwrap_or(Incarnation::ZERO),
            status: ServerStatus::Leaving,
        }
    }
}
