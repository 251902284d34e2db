//! Finds the requests in flight that have not begun by the weights that they were sent to.

use std::collections::{BTreeMap, BTreeSet};

use super::InFlight;
use crate::domain::{RequestId, ServiceId, Timestamp, WeightsVersion};
use crate::fleet::Fleet;

/// The requests in flight whose answer has not begun, by service and weights version, so that all that
/// must be recalled at the same time are found without a search.
#[derive(Debug, Default)]
pub struct RecallIndex {
    unstarted: BTreeMap<Group, BTreeSet<RequestId>>,
}

/// The requests that are recalled at the same time.
type Group = (ServiceId, WeightsVersion);

impl RecallIndex {
    /// Creates an empty index.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a request that has been sent.
    pub fn insert(&mut self, flight: &InFlight) {
        let group = self.unstarted.entry(group(flight)).or_default();
        group.insert(flight.attempt.id);
    }

    /// Removes a request that has begun or ended.
    pub fn remove(&mut self, flight: &InFlight) {
        let key = group(flight);
        let Some(group) = self.unstarted.get_mut(&key) else {
            return;
        };
        group.remove(&flight.attempt.id);
        if group.is_empty() {
            self.unstarted.remove(&key);
        }
    }

    /// Returns the time at which the next requests are to be recalled, if newer weights are named.
    pub fn next_recall(&self, fleet: &Fleet) -> Option<Timestamp> {
        let groups = self.unstarted.keys();
        groups.filter_map(|group| recall_at(group, fleet)).min()
    }

    /// Removes and returns the requests that are to be recalled at `now`.
    pub fn take_due(&mut self, fleet: &Fleet, now: Timestamp) -> Vec<RequestId> {
        let mut due = Vec::new();
        self.unstarted.retain(|group, requests| {
            let kept = recall_at(group, fleet).is_none_or(|at| now < at);
            if !kept {
                due.extend(requests.iter());
            }
            kept
        });
        due
    }
}

fn group(flight: &InFlight) -> Group {
    (flight.request.service.clone(), flight.weights)
}

fn recall_at((service, weights): &Group, fleet: &Fleet) -> Option<Timestamp> {
    let rollout = fleet.services.get(service)?.rollout.as_ref();
    rollout?.recall_at(*weights)
}
