//! The claims of one entry.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    ClaimAsk, ClaimCall, ClaimGate, ClaimName, ClaimNews, ClaimRecord, ClaimTicket, ClaimVerdict,
    HeldClaim,
};
use crate::domain::{Attempt, Deadline, ModelService, Request, RequestId, Timestamp};
use crate::event::{Action, Failure};
use crate::fleet::ServerTable;

/// The claims of one entry, by request.
///
/// A claim is asked for before its request may wait for a server, finished when the request
/// has run, and given back only when it is certain that the request has not run and will not.
#[derive(Debug, Default)]
pub struct ClaimBook {
    claims: BTreeMap<RequestId, HeldClaim>,
    names: BTreeMap<ClaimName, RequestId>,
    /// When the platform has been waited for long enough, also for claims that were answered.
    limits: BTreeSet<(Timestamp, RequestId)>,
    gate: ClaimGate,
}

/// How long the platform is waited for: a claim whose answer is lost once is still resolved.
const PATIENCE: Duration = Duration::from_secs(3);
/// How long a claim may be used: far shorter than claims are kept.
const USE_TIME: Duration = Duration::from_secs(60 * 60);

impl ClaimBook {
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
    pub fn covers(&self, request: &Request, service: &ModelService, servers: &ServerTable) -> bool {
        let claim = self.claims.get(&request.id);
        !request.needs_claim()
            || matches!(claim, Some(HeldClaim::Held(_) | HeldClaim::Sent(..)))
            || servers.all_keyed(&service.pool)
    }

    /// Asks for the claim of a request, which waits in the book meanwhile, or refuses a request
    /// whose key this entry is already working on.
    pub fn ask(&mut self, request: &Request, now: Timestamp) -> Action {
        let name = HeldClaim::name_of(request);
        if self.names.contains_key(&name) {
            return Action::Refuse(request.id, ClaimVerdict::running());
        }
        if !self.gate.allows(now) {
            return Action::Refuse(request.id, ClaimVerdict::unavailable());
        }
        let until = request.deadline.timestamp().min(now + PATIENCE);
        let claim = HeldClaim::Asking(Box::new(request.clone()));
        self.claims.insert(request.id, claim);
        self.names.insert(name, request.id);
        self.limits.insert((until, request.id));
        Action::Claim(ClaimCall::Ask(ClaimAsk {
            id: request.id,
            name,
            fingerprint: request.fingerprint,
            until,
        }))
    }

    /// Takes in what became of a call. A claim that nobody needs any more is given back.
    pub fn hear(
        &mut self,
        news: &ClaimNews,
        now: Timestamp,
        out: &mut Vec<Action>,
    ) -> ClaimVerdict {
        match news {
            ClaimNews::Granted(id, version) => {
                self.give_back(out);
                self.grant(*id, *version, now, out)
            }
            ClaimNews::Held(id, record) => {
                self.give_back(out);
                self.held(*id, record)
            }
            ClaimNews::Unavailable(id) => self.unavailable(*id, now),
            ClaimNews::Unasked(id) => match self.remove(*id) {
                Some(HeldClaim::Asking(..)) => ClaimVerdict::Refuse(ClaimVerdict::unavailable()),
                _ => ClaimVerdict::Nothing,
            },
            ClaimNews::Settled(id) => {
                self.remove(*id);
                ClaimVerdict::Nothing
            }
        }
    }

    /// Notes that the caller of a request in flight has left. `whole` tells whether the server
    /// answers all the same; the caller may ask for that answer again.
    pub fn hang_up(&mut self, id: RequestId, whole: bool) {
        match self.claims.get_mut(&id) {
            Some(HeldClaim::Sent(_, _, left)) if whole => *left = true,
            Some(HeldClaim::Sent(..)) => drop(self.remove(id)),
            _ => {}
        }
    }

    /// Notes that the caller of a request that is not in flight has left. Whatever was tried
    /// before did not run, or the request would not wait for another try.
    pub fn withdraw(&mut self, id: RequestId, out: &mut Vec<Action>) {
        match self.claims.get_mut(&id) {
            Some(claim @ HeldClaim::Asking(..)) => drop_claim(claim),
            Some(HeldClaim::Held(_) | HeldClaim::Sent(_, _, false)) => self.release(id, out),
            _ => {}
        }
    }

    /// Notes that a request has run to its end.
    pub fn finish(&mut self, attempt: Attempt, out: &mut Vec<Action>) {
        let Some(HeldClaim::Sent(ticket, sent, _)) = self.claims.get(&attempt.id) else {
            return;
        };
        if *sent != attempt {
            return;
        }
        let ticket = *ticket;
        self.claims
            .insert(attempt.id, HeldClaim::Settling(ticket.name));
        out.push(Action::Claim(ClaimCall::Finish(ticket)));
    }

    /// Notes the failure of a try whose caller has left; nobody refuses the request then.
    pub fn fail(&mut self, failure: &Failure, out: &mut Vec<Action>) {
        let id = failure.attempt.id;
        match self.claims.get(&id) {
            Some(HeldClaim::Sent(_, sent, true)) if *sent == failure.attempt => {
                self.end(id, failure.sent.is_not_run(), out);
            }
            _ => {}
        }
    }

    /// Refuses the requests for which the platform was waited long enough.
    pub fn expire(&mut self, now: Timestamp, out: &mut Vec<Action>) {
        while let Some((_, id)) = self.limits.first().copied().filter(|(t, _)| *t < now) {
            self.limits.pop_first();
            if let Some(claim @ HeldClaim::Asking(..)) = self.claims.get_mut(&id) {
                drop_claim(claim);
                out.push(Action::Refuse(id, ClaimVerdict::unavailable()));
            }
        }
    }

    /// Returns when the next request has waited long enough for the platform.
    pub fn earliest(&self) -> Option<Timestamp> {
        self.limits.first().map(|(time, _)| *time)
    }

    /// Follows what the router has decided from place `start` of `out` on: a request that was
    /// sent uses its claim, and one that was refused gives it back if it has not run.
    pub fn follow(&mut self, start: usize, out: &mut Vec<Action>) {
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
    ) -> ClaimVerdict {
        match self.claims.get(&id).cloned() {
            Some(HeldClaim::Asking(mut request)) => {
                let claim = HeldClaim::Held(ticket(&request, version));
                self.claims.insert(id, claim);
                // After a long pause the claim could be gone: it is not used then.
                let last = request.deadline.timestamp().min(now + USE_TIME);
                request.deadline = Deadline::new(last);
                ClaimVerdict::Go(request)
            }
            Some(HeldClaim::Dropped(ticket)) => {
                let ticket = ClaimTicket { version, ..ticket };
                self.claims.insert(id, HeldClaim::Held(ticket));
                self.release(id, out);
                ClaimVerdict::Nothing
            }
            _ => ClaimVerdict::Nothing,
        }
    }

    fn held(&mut self, id: RequestId, record: &ClaimRecord) -> ClaimVerdict {
        match self.remove(id) {
            Some(HeldClaim::Asking(request)) => ClaimVerdict::judge(&request, record),
            _ => ClaimVerdict::Nothing,
        }
    }

    /// Remembers a claim that may have been written all the same.
    fn unavailable(&mut self, id: RequestId, now: Timestamp) -> ClaimVerdict {
        let (ticket, verdict) = match self.remove(id) {
            Some(HeldClaim::Asking(request)) => {
                let refusal = ClaimVerdict::unavailable();
                (ticket(&request, 0), ClaimVerdict::Refuse(refusal))
            }
            Some(HeldClaim::Dropped(ticket)) => (ticket, ClaimVerdict::Nothing),
            _ => return ClaimVerdict::Nothing,
        };
        self.gate.fail(ticket, now);
        verdict
    }

    /// Gives back the claims that were in doubt, now that the platform answers.
    fn give_back(&mut self, out: &mut Vec<Action>) {
        for ticket in self.gate.answer() {
            self.claims
                .insert(ticket.id, HeldClaim::Settling(ticket.name));
            out.push(Action::Claim(ClaimCall::Release(ticket)));
        }
    }

    fn send(&mut self, attempt: Attempt) {
        let claim = self.claims.get_mut(&attempt.id);
        if let Some(HeldClaim::Held(ticket) | HeldClaim::Sent(ticket, ..)) = claim {
            let sent = HeldClaim::Sent(*ticket, attempt, false);
            self.claims.insert(attempt.id, sent);
        }
    }

    /// Ends a claim whose request is over. One that may have run stays in the platform.
    fn end(&mut self, id: RequestId, not_run: bool, out: &mut Vec<Action>) {
        match self.claims.get(&id) {
            Some(HeldClaim::Held(_) | HeldClaim::Sent(..)) if not_run => self.release(id, out),
            Some(HeldClaim::Held(_) | HeldClaim::Sent(..)) => drop(self.remove(id)),
            _ => {}
        }
    }

    fn release(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let claim = self.claims.get(&id);
        if let Some(HeldClaim::Held(ticket) | HeldClaim::Sent(ticket, ..)) = claim {
            let ticket = *ticket;
            self.claims.insert(id, HeldClaim::Settling(ticket.name));
            out.push(Action::Claim(ClaimCall::Release(ticket)));
        }
    }

    fn remove(&mut self, id: RequestId) -> Option<HeldClaim> {
        let name = self.claims.get(&id)?.name();
        if self.names.get(&name) == Some(&id) {
            self.names.remove(&name);
        }
        self.claims.remove(&id)
    }
}

fn ticket(request: &Request, version: u64) -> ClaimTicket {
    ClaimTicket {
        id: request.id,
        name: HeldClaim::name_of(request),
        fingerprint: request.fingerprint,
        version,
    }
}

fn drop_claim(claim: &mut HeldClaim) {
    if let HeldClaim::Asking(request) = claim {
        *claim = HeldClaim::Dropped(ticket(request, 0));
    }
}

const fn is_pending(claim: &HeldClaim) -> bool {
    !matches!(claim, HeldClaim::Held(_) | HeldClaim::Sent(..))
}
