//! The claims of one entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    ClaimBreaker, ClaimCommand, ClaimDecision, ClaimHandle, ClaimName, ClaimOutcome, ClaimRecord,
    ClaimRequest, TrackedClaim,
};
use crate::domain::{Attempt, Deadline, ModelService, Request, RequestId, Timestamp};
use crate::event::{Action, Failure};
use crate::fleet::ServerTable;

/// The claims of one entry, by request.
///
/// A claim is asked for before its request may wait for a server, finished when the request
/// has run, and given back only when it is certain that the request has not run and will not.
#[derive(Debug, Default)]
pub struct ClaimTable {
    claims: BTreeMap<RequestId, TrackedClaim>,
    names: BTreeMap<ClaimName, RequestId>,
    /// When the platform has been waited for long enough, also for claims that were answered.
    limits: BTreeSet<(Timestamp, RequestId)>,
    gate: ClaimBreaker,
}

/// How long the platform is waited for: a claim whose answer is lost once is still resolved.
const PATIENCE: Duration = Duration::from_secs(3);
/// How long a claim may be used: far shorter than claims are kept.
const USE_TIME: Duration = Duration::from_secs(60 * 60);

impl ClaimTable {
    /// Creates an empty book.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the claims whose platform calls have not ended.
    pub fn pending(&self) -> usize {
        self.claims.values().filter(|c| is_pending(c)).count()
    }

    /// Tells whether a request may be sent: it holds its claim, or it needs none because it may
    /// repeat, has no key, or goes to servers that check keys themselves.
    pub fn permits(
        &self,
        request: &Request,
        service: &ModelService,
        servers: &ServerTable,
    ) -> bool {
        let claim = self.claims.get(&request.id);
        !request.needs_claim()
            || matches!(claim, Some(TrackedClaim::Held(_) | TrackedClaim::Sent(..)))
            || servers.all_keyed(&service.pool)
    }

    /// Asks for the claim of a request, which waits in the book meanwhile, or refuses a request
    /// whose key this entry is already working on.
    pub fn request(&mut self, request: &Request, now: Timestamp) -> Action {
        let name = TrackedClaim::name_of(request);
        if self.names.contains_key(&name) {
            return Action::Refuse(request.id, ClaimDecision::in_progress());
        }
        if !self.gate.allows(now) {
            return Action::Refuse(request.id, ClaimDecision::unavailable());
        }
        let deadline = request.deadline.timestamp().min(now + PATIENCE);
        let claim = TrackedClaim::Requested(Box::new(request.clone()));
        self.claims.insert(request.id, claim);
        self.names.insert(name, request.id);
        self.limits.insert((deadline, request.id));
        Action::Claim(ClaimCommand::Create(ClaimRequest {
            id: request.id,
            name,
            fingerprint: request.fingerprint,
            deadline,
        }))
    }

    /// Takes in what became of a call. A claim that nobody needs any more is given back.
    pub fn handle_outcome(
        &mut self,
        news: &ClaimOutcome,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> ClaimDecision {
        match news {
            ClaimOutcome::Granted(id, version) => {
                self.give_back(out);
                self.grant(*id, *version, now, out)
            }
            ClaimOutcome::AlreadyHeld(id, record) => {
                self.give_back(out);
                self.held(*id, record)
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

    /// Notes that the caller of a request in flight has left. `whole` tells whether the server
    /// answers all the same; the caller may ask for that answer again.
    pub fn hang_up(&mut self, id: RequestId, whole: bool) {
        match self.claims.get_mut(&id) {
            Some(TrackedClaim::Sent(_, _, left)) if whole => *left = true,
            Some(TrackedClaim::Sent(..)) => drop(self.remove(id)),
            _ => {}
        }
    }

    /// Notes that the caller of a request that is not in flight has left. Whatever was tried
    /// before did not run, or the request would not wait for another try.
    pub fn cancel(&mut self, id: RequestId, out: &mut Vec<Action>) {
        match self.claims.get_mut(&id) {
            Some(claim @ TrackedClaim::Requested(..)) => drop_claim(claim),
            Some(TrackedClaim::Held(_) | TrackedClaim::Sent(_, _, false)) => self.release(id, out),
            _ => {}
        }
    }

    /// Notes that a request has run to its end.
    pub fn finish(&mut self, attempt: Attempt, out: &mut Vec<Action>) {
        let Some(TrackedClaim::Sent(ticket, sent, _)) = self.claims.get(&attempt.id) else {
            return;
        };
        if *sent != attempt {
            return;
        }
        let ticket = *ticket;
        self.claims
            .insert(attempt.id, TrackedClaim::Closing(ticket.name));
        out.push(Action::Claim(ClaimCommand::Finish(ticket)));
    }

    /// Notes the failure of a try whose caller has left; nobody refuses the request then.
    pub fn fail(&mut self, failure: &Failure, out: &mut Vec<Action>) {
        let id = failure.attempt.id;
        match self.claims.get(&id) {
            Some(TrackedClaim::Sent(_, sent, true)) if *sent == failure.attempt => {
                self.end(id, failure.sent.is_not_run(), out);
            }
            _ => {}
        }
    }

    /// Refuses the requests for which the platform was waited long enough.
    pub fn expire(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        while let Some((_, id)) = self.limits.first().copied().filter(|(t, _)| *t < now) {
            self.limits.pop_first();
            if let Some(claim @ TrackedClaim::Requested(..)) = self.claims.get_mut(&id) {
                drop_claim(claim);
                out.push(Action::Refuse(id, ClaimDecision::unavailable()));
            }
        }
    }

    /// Returns when the next request has waited long enough for the platform.
    pub fn next_timeout(&self) -> Option<Timestamp> {
        self.limits.first().map(|(time, _)| *time)
    }

    /// Follows what the router has decided from place `start` of `out` on: a request that was
    /// sent uses its claim, and one that was refused gives it back if it has not run.
    pub fn apply_actions(&mut self, start: usize, out: &mut Vec<Action>) {
        if self.claims.is_empty() {
            return;
        }
        for place in start..out.len() {
            match &out[place] {
                Action::Dispatch(order) => self.send(order.attempt),
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
                let claim = TrackedClaim::Held(ticket(&request, version));
                self.claims.insert(id, claim);
                // After a long pause the claim could be gone: it is not used then.
                let last = request.deadline.timestamp().min(now + USE_TIME);
                request.deadline = Deadline::new(last);
                ClaimDecision::Proceed(request)
            }
            Some(TrackedClaim::Abandoned(ticket)) => {
                let ticket = ClaimHandle { version, ..ticket };
                self.claims.insert(id, TrackedClaim::Held(ticket));
                self.release(id, out);
                ClaimDecision::Nothing
            }
            _ => ClaimDecision::Nothing,
        }
    }

    fn held(&mut self, id: RequestId, record: &ClaimRecord) -> ClaimDecision {
        match self.remove(id) {
            Some(TrackedClaim::Requested(request)) => ClaimDecision::for_existing(&request, record),
            _ => ClaimDecision::Nothing,
        }
    }

    /// Remembers a claim that may have been written all the same.
    fn unavailable(&mut self, id: RequestId, now: Timestamp) -> ClaimDecision {
        let (ticket, verdict) = match self.remove(id) {
            Some(TrackedClaim::Requested(request)) => {
                let refusal = ClaimDecision::unavailable();
                (ticket(&request, 0), ClaimDecision::Refuse(refusal))
            }
            Some(TrackedClaim::Abandoned(ticket)) => (ticket, ClaimDecision::Nothing),
            _ => return ClaimDecision::Nothing,
        };
        self.gate.record_failure(ticket, now);
        verdict
    }

    /// Gives back the claims that were in doubt, now that the platform answers.
    fn give_back(&mut self, out: &mut Vec<Action>) {
        for ticket in self.gate.record_answer() {
            self.claims
                .insert(ticket.id, TrackedClaim::Closing(ticket.name));
            out.push(Action::Claim(ClaimCommand::Release(ticket)));
        }
    }

    fn send(&mut self, attempt: Attempt) {
        let claim = self.claims.get_mut(&attempt.id);
        if let Some(TrackedClaim::Held(ticket) | TrackedClaim::Sent(ticket, ..)) = claim {
            let sent = TrackedClaim::Sent(*ticket, attempt, false);
            self.claims.insert(attempt.id, sent);
        }
    }

    /// Ends a claim whose request is over. One that may have run stays in the platform.
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
        if let Some(TrackedClaim::Held(ticket) | TrackedClaim::Sent(ticket, ..)) = claim {
            let ticket = *ticket;
            self.claims.insert(id, TrackedClaim::Closing(ticket.name));
            out.push(Action::Claim(ClaimCommand::Release(ticket)));
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

fn ticket(request: &Request, version: u64) -> ClaimHandle {
    ClaimHandle {
        id: request.id,
        name: TrackedClaim::name_of(request),
        fingerprint: request.fingerprint,
        version,
    }
}

fn drop_claim(claim: &mut TrackedClaim) {
    if let TrackedClaim::Requested(request) = claim {
        *claim = TrackedClaim::Abandoned(ticket(request, 0));
    }
}

const fn is_pending(claim: &TrackedClaim) -> bool {
    !matches!(claim, TrackedClaim::Held(_) | TrackedClaim::Sent(..))
}
