//! The deciding duty's side of claims.

use azureway_core::prelude::{ClaimCommand, ClaimOutcome, RequestId, ShortAnswer};
use flume::Sender;

use super::{ClaimOrder, ClaimRings};

/// The deciding duty's side of claims: places calls and adds the answers to be kept.
#[derive(Debug)]
pub struct ClaimClient {
    orders: Sender<ClaimOrder>,
    offered: Option<(RequestId, ShortAnswer)>,
    _alive: Sender<()>,
}

impl ClaimClient {
    /// Creates a client that places its orders in the ring of the claiming threads.
    pub fn new(rings: &ClaimRings) -> Self {
        Self {
            orders: rings.place.clone(),
            offered: None,
            _alive: rings.alive.clone(),
        }
    }

    /// Offers the answer of a request that has just finished, in case its claim keeps it.
    pub fn offer(&mut self, id: RequestId, answer: ShortAnswer) {
        self.offered = Some((id, answer));
    }

    /// Places a call. Returns its news at once if the ring is full: decisions do not wait, a
    /// claim that cannot be asked for is not granted, and one not settled stays open.
    pub fn place(&mut self, call: ClaimCommand) -> Option<ClaimOutcome> {
        let id = call.id();
        let unplaced = match call {
            ClaimCommand::Create(_) => ClaimOutcome::Skipped(id),
            ClaimCommand::Finish(_) | ClaimCommand::Release(_) => ClaimOutcome::Closed(id),
        };
        let offered = self.offered.take().filter(|(of, _)| *of == id);
        let answer = offered.map(|(_, answer)| answer);
        let order = ClaimOrder { call, answer };
        self.orders.try_send(order).is_err().then_some(unplaced)
    }
}
