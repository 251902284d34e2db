//! The deciding duty's client of the claiming threads.

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

    /// Offers the answer of a request that has just finished, to be stored if the next command is
    /// for its claim.
    pub fn offer_answer(&mut self, id: RequestId, answer: ShortAnswer) {
        self.offered = Some((id, answer));
    }

    /// Submits a command. Returns its outcome at once if the ring is full, since decisions must
    /// not wait: a claim that cannot be created is not granted, and one that cannot be closed
    /// stays open.
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
