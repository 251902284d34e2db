//! Tracks the claims of this entry's requests from creation to release.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    ClaimBreaker, ClaimCommand, ClaimDecision, ClaimHandle, ClaimName, ClaimOutcome, ClaimRecord,
    ClaimRequest, TrackedClaim,
};
use crate::domain::{Attempt, Deadline, ModelService, Request, RequestId, Timestamp};
use crate::event::{Action, Failure};
use crate::fleet::ServerTable;

/// The claims of one entry instance, by request.
///
/// A claim is requested before its request may wait for a server and finished when the request
/// has run. It is released only when it is certain that the request has not run and will not run.
#[derive(Debug, Default)]
pub struct ClaimTable {
    claims: BTreeMap<RequestId, TrackedClaim>,
    names: BTreeMap<ClaimName, RequestId>,
    /// The times at which waits for the platform end. A time stays after the platform has answered.
    timeouts: BTreeSet<(Timestamp, RequestId)>,
    breaker: ClaimBreaker,
}

/// The time to wait for the platform. It suffices to resolve a claim after one lost answer.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(3);
/// The time for which a claim may be used, which is far shorter than the retention of claims.
const MAX_USE: Duration = Duration::from_secs(60 * 60);

impl ClaimTable {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of claims that wait for the platform.
    pub fn pending(&self) -> usize {
        self.claims.values().filter(|c| is_pending(c)).count()
    }

    /// Returns whether a request may be sent: it holds its claim, or it needs none because it may
    /// run more than once, has no key, or goes to servers that deduplicate keys themselves.
    pub fn permits(
        &self,
        request: &Request,
        service: &ModelService,
        servers: &ServerTable,
    ) -> bool {
        let claim = self.claims.get(&request.id);
        !request.needs_claim()
            || matches!(claim, Some(TrackedClaim::Held(_) | TrackedClaim::Sent(..)))
            || servers.all_deduplicate(&service.pool)
    }

    /// Requests the claim of `request`, which the table keeps until the platform answers. Refuses
    /// the request if this entry already handles its key.
    pub fn request(&mut self, request: &Request, now: Timestamp) -> Action {
        let name = TrackedClaim::name_of(request);
        if self.names.contains_key(&name) {
            return Action::Refuse(request.id, ClaimDecision::in_progress());
        }
        if !self.breaker.allows(now) {
            return Action::Refuse(request.id, ClaimDecision::unavailable());
        }
        let deadline = request.deadline.timestamp().min(now + PLATFORM_TIMEOUT);
        let claim = TrackedClaim::Requested(Box::new(request.clone()));
        self.claims.insert(request.id, claim);
        self.names.insert(name, request.id);
        self.timeouts.insert((deadline, request.id));
        Action::Claim(ClaimCommand::Create(ClaimRequest {
            id: request.id,
            name,
            fingerprint: request.fingerprint,
            deadline,
        }))
    }

    /// Applies the outcome of a command. Releases a claim that is no longer needed.
    pub fn handle_outcome(
        &mut self,
        outcome: &ClaimOutcome,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> ClaimDecision {
        match outcome {
            ClaimOutcome::Granted(id, version) => {
                self.release_uncertain(out);
                self.grant(*id, *version, now, out)
            }
            ClaimOutcome::AlreadyHeld(id, record) => {
                self.release_uncertain(out);
                self.already_held(*id, record)
            }
            ClaimOutcome::Unavailable(id) => self.unavailable(*id, now),
            ClaimOutcome::Skipped(id) => match self.remove(*id) {
                Some(TrackedClaim::Requested(..)) => {
                    ClaimDecision::Refuse(ClaimDecision::unavailable())
                }
                _ => ClaimDecision::Nothing,
            },
            ClaimOutcome::Closed(id) => {
                self.remove(*id);
                ClaimDecision::Nothing
            }
        }
    }

    /// Records that the caller of a request in flight has disconnected. `completes` says whether
    /// the server completes the answer nevertheless, which the caller may then request again.
    pub fn caller_disconnected(&mut self, id: RequestId, completes: bool) {
        match self.claims.get_mut(&id) {
            Some(TrackedClaim::Sent(_, _, disconnected)) if completes => *disconnected = true,
            Some(TrackedClaim::Sent(..)) => drop(self.remove(id)),
            _ => {}
        }
    }

    /// Records that the caller of a request that is not in flight has disconnected. No earlier
    /// attempt of it can have run, since a request that may have run is not attempted again.
    pub fn cancel(&mut self, id: RequestId, out: &mut Vec<Action>) {
        match self.claims.get_mut(&id) {
            Some(claim @ TrackedClaim::Requested(..)) => abandon(claim),
            Some(TrackedClaim::Held(_) | TrackedClaim::Sent(_, _, false)) => self.release(id, out),
            _ => {}
        }
    }

    /// Records that a request has run to completion.
    pub fn finish(&mut self, attempt: Attempt, out: &mut Vec<Action>) {
        let Some(TrackedClaim::Sent(handle, sent, _)) = self.claims.get(&attempt.id) else {
            return;
        };
        if *sent != attempt {
            return;
        }
        let handle = *handle;
        self.claims
            .insert(attempt.id, TrackedClaim::Closing(handle.name));
        out.push(Action::Claim(ClaimCommand::Finish(handle)));
    }

    /// Records that an attempt failed. If its caller has disconnected, no refusal follows, so this
    /// closes the claim.
    pub fn fail(&mut self, failure: &Failure, out: &mut Vec<Action>) {
        let id = failure.attempt.id;
        match self.claims.get(&id) {
            Some(TrackedClaim::Sent(_, sent, true)) if *sent == failure.attempt => {
                self.end(id, failure.sent.is_not_run(), out);
            }
            _ => {}
        }
    }

    /// Refuses the requests whose wait for the platform has timed out.
    pub fn expire(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        while let Some((_, id)) = self.timeouts.first().copied().filter(|(t, _)| *t < now) {
            self.timeouts.pop_first();
            if let Some(claim @ TrackedClaim::Requested(..)) = self.claims.get_mut(&id) {
                abandon(claim);
                out.push(Action::Refuse(id, ClaimDecision::unavailable()));
            }
        }
    }

    /// Returns the time at which the next wait for the platform times out.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.timeouts.first().map(|(time, _)| *time)
    }

    /// Applies the actions in `out` from index `start` on: a request that is sent uses its claim,
    /// and a request that is refused releases it if it has not run.
    pub fn apply_actions(&mut self, start: usize, out: &mut Vec<Action>) {
        if self.claims.is_empty() {
            return;
        }
        for index in start..out.len() {
            match &out[index] {
                Action::Dispatch(dispatch) => self.send(dispatch.attempt),
                Action::Refuse(id, refusal) => {
                    let (id, not_run) = (*id, refusal.not_run);
                    self.end(id, not_run, out);
                }
                _ => {}
            }
        }
    }

    fn grant(
        &mut self,
        id: RequestId,
        version: u64,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> ClaimDecision {
        match self.claims.get(&id).cloned() {
            Some(TrackedClaim::Requested(mut request)) => {
                let claim = TrackedClaim::Held(handle_of(&request, version));
                self.claims.insert(id, claim);
                // After a long pause the claim may have been swept, so its use is limited.
                let deadline = request.deadline.timestamp().min(now + MAX_USE);
                request.deadline = Deadline::new(deadline);
                ClaimDecision::Proceed(request)
            }
            Some(TrackedClaim::Abandoned(handle)) => {
                let handle = ClaimHandle { version, ..handle };
                self.claims.insert(id, TrackedClaim::Held(handle));
                self.release(id, out);
                ClaimDecision::Nothing
            }
            _ => ClaimDecision::Nothing,
        }
    }

    fn already_held(&mut self, id: RequestId, record: &ClaimRecord) -> ClaimDecision {
        match self.remove(id) {
            Some(TrackedClaim::Requested(request)) => ClaimDecision::for_existing(&request, record),
            _ => ClaimDecision::Nothing,
        }
    }

    /// Remembers a claim that may have been written although the platform did not answer.
    fn unavailable(&mut self, id: RequestId, now: Timestamp) -> ClaimDecision {
        let (handle, decision) = match self.remove(id) {
            Some(TrackedClaim::Requested(request)) => {
                let refusal = ClaimDecision::unavailable();
                (handle_of(&request, 0), ClaimDecision::Refuse(refusal))
            }
            Some(TrackedClaim::Abandoned(handle)) => (handle, ClaimDecision::Nothing),
            _ => return ClaimDecision::Nothing,
        };
        self.breaker.record_failure(handle, now);
        decision
    }

    /// Releases the uncertain claims, now that the platform answers.
    fn release_uncertain(&mut self, out: &mut Vec<Action>) {
        for handle in self.breaker.record_answer() {
            self.claims
                .insert(handle.id, TrackedClaim::Closing(handle.name));
            out.push(Action::Claim(ClaimCommand::Release(handle)));
        }
    }

    fn send(&mut self, attempt: Attempt) {
        let claim = self.claims.get_mut(&attempt.id);
        if let Some(TrackedClaim::Held(handle) | TrackedClaim::Sent(handle, ..)) = claim {
            let sent = TrackedClaim::Sent(*handle, attempt, false);
            self.claims.insert(attempt.id, sent);
        }
    }

    /// Closes the claim of a request that has ended. If the request may have run, the claim stays
    /// in the platform.
    fn end(&mut self, id: RequestId, not_run: bool, out: &mut Vec<Action>) {
        match self.claims.get(&id) {
            Some(TrackedClaim::Held(_) | TrackedClaim::Sent(..)) if not_run => {
                self.release(id, out)
            }
            Some(TrackedClaim::Held(_) | TrackedClaim::Sent(..)) => drop(self.remove(id)),
            _ => {}
        }
    }

    fn release(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let claim = self.claims.get(&id);
        if let Some(TrackedClaim::Held(handle) | TrackedClaim::Sent(handle, ..)) = claim {
            let handle = *handle;
            self.claims.insert(id, TrackedClaim::Closing(handle.name));
            out.push(Action::Claim(ClaimCommand::Release(handle)));
        }
    }

    fn remove(&mut self, id: RequestId) -> Option<TrackedClaim> {
        let name = self.claims.get(&id)?.name();
        if self.names.get(&name) == Some(&id) {
            self.names.remove(&name);
        }
        self.claims.remove(&id)
    }
}

fn handle_of(request: &Request, version: u64) -> ClaimHandle {
    ClaimHandle {
        id: request.id,
        name: TrackedClaim::name_of(request),
        fingerprint: request.fingerprint,
        version,
    }
}

fn abandon(claim: &mut TrackedClaim) {
    if let TrackedClaim::Requested(request) = claim {
        *claim = TrackedClaim::Abandoned(handle_of(request, 0));
    }
}

const fn is_pending(claim: &TrackedClaim) -> bool {
    !matches!(claim, TrackedClaim::Held(_) | TrackedClaim::Sent(..))
}
