//! The channels by which claiming threads receive tasks and detect the deciding duty's end.

use flume::{Receiver, Sender};

use super::ClaimTask;

/// Both ends of the rings between the deciding duty and the claiming threads.
#[derive(Clone, Debug)]
pub struct ClaimRings {
    /// Sends tasks to the claiming threads.
    pub task_tx: Sender<ClaimTask>,
    /// Receives tasks in the claiming threads.
    pub task_rx: Receiver<ClaimTask>,
    /// Held by the deciding duty while it runs; nothing is sent on it.
    pub guard: Sender<()>,
    /// Disconnects when the deciding duty ends.
    pub closed: Receiver<()>,
}

impl ClaimRings {
    /// Creates rings with room for `size` tasks.
    pub fn new(size: usize) -> Self {
        let (task_tx, task_rx) = flume::bounded(size);
        let (guard, closed) = flume::bounded(0);
        Self {
            task_tx,
            task_rx,
            guard,
            closed,
        }
    }
}
