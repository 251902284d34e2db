//! Carries out the actions of the router in a replay.

use azureway_core::prelude::{Action, Policy};

use super::{ReplayDriver, ReplayEvent};

impl<P: Policy + Default> ReplayDriver<'_, P> {
    /// Carries out an action.
    pub(super) fn apply(&mut self, action: Action) {
        match action {
            Action::Dispatch(dispatch) => self.dispatch(&dispatch),
            Action::Refuse(id, refusal) => self.refuse(id, refusal),
            Action::Cancel(attempt) => {
                if let Some(current) = self.state.in_flight.remove(&attempt.id) {
                    self.state.engines.at_mut(current.engine).cancel(attempt);
                }
            }
            Action::Claim(command) => {
                let (time, reply) = self.state.platform.answer(&command);
                self.state.schedule(time, ReplayEvent::ClaimAnswered(reply));
            }
            // No request of a trace is repeated with its idempotency key, a replay has no rollout of
            // weights and no other entry to broadcast to.
            Action::ReplayAnswer(..)
            | Action::Recall(_)
            | Action::BroadcastServer(_)
            | Action::BroadcastCrashReport(_)
            | Action::StoreQuarantine(_) => {}
            Action::Resync(server) => {
                if let Some(index) = self.state.engines.index_of(server.as_str()) {
                    self.state.request_snapshot(index);
                }
            }
        }
    }
}
