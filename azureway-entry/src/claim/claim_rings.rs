//! The rings of the claiming duty.

use flume::{Receiver, Sender};

use super::ClaimOrder;

/// Both ends of the rings between the deciding duty and the claiming threads.
#[derive(Clone, Debug)]
pub struct ClaimRings {
    /// To the claiming threads.
    pub place: Sender<ClaimOrder>,
    /// At the claiming threads.
    pub orders: Receiver<ClaimOrder>,
    /// Held by the deciding duty; nothing is sent on it.
    pub alive: Sender<()>,
    /// Ends with the deciding duty.
    pub halt: Receiver<()>,
}

impl ClaimRings {
    /// Creates rings of `size` orders.
    pub fn new(size: usize) -> Self {
        let (place, orders) = flume::bounded(size);
        let (alive, halt) = flume::bounded(0);
        Self {
            place,
            orders,
            alive,
            halt,
        }
    }
}
