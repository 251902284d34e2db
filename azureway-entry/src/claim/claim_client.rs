//! Submission of claim commands by the deciding duty, which must not wait for the platform.

use azureway_core::prelude::{ClaimCommand, ClaimOutcome, RequestId, ShortAnswer};
use flume::Sender;

use super::{ClaimRings, ClaimTask};

/// The deciding duty's client of the claiming threads. It submits claim commands, along with the
/// answers that finished claims store.
#[derive(Debug)]
pub struct ClaimClient {
    tasks: Sender<ClaimTask>,
    offered: Option<(RequestId, ShortAnswer)>,
    _guard: Sender<()>,
}

impl ClaimClient {
    /// Creates a client that submits to the ring of the claiming threads.
    pub fn new(rings: &ClaimRings) -> Self {
        Self {
            tasks: rings.task_tx.clone(),
            offered: None,
            _guard: rings.guard.clone(),
        }
    }

    /// Keeps the answer of a request that has just finished. It is stored if the next command is
    /// for the claim of this request, and dropped otherwise.
    pub fn offer_answer(&mut self, id: RequestId, answer: ShortAnswer) {
        self.offered = Some((id, answer));
    }

    /// Submits a command. Decisions must not wait, so if the ring is full, the command is dropped
    /// and its outcome returned: a claim to create is not granted, and a claim to close stays
    /// open at the platform.
    pub fn submit(&mut self, command: ClaimCommand) -> Option<ClaimOutcome> {
        let id = command.id();
        let rejected = match command {
            ClaimCommand::Create(_) => ClaimOutcome::Skipped(id),
            ClaimCommand::Finish(_) | ClaimCommand::Release(_) => ClaimOutcome::Closed(id),
        };
        let offered = self.offered.take().filter(|(of, _)| *of == id);
        let answer = offered.map(|(_, answer)| answer);
        let task = ClaimTask { command, answer };
        self.tasks.try_send(task).is_err().then_some(rejected)
    }
}
