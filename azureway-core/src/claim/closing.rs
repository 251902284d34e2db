//! The calls that finish a claim or give it back.

use super::{ClaimHandle, ClaimNonce, ClaimOutcome, ClaimReply, ClaimStep};
use crate::domain::RequestId;

/// The calls that finish a claim or give it back. What stays undone leaves the claim open,
/// which is safe: the key is not run again.
#[derive(Clone, Debug)]
pub struct ClaimClosing {
    id: RequestId,
    nonce: ClaimNonce,
    last: ClaimStep,
    failures: u32,
}

/// The calls without a useful answer after which the claim is left open.
const FAILURES_MAX: u32 = 4;

impl ClaimClosing {
    /// Creates the calls that note the end of a run.
    pub fn finish(ticket: &ClaimHandle) -> Self {
        Self::new(ticket.id, ClaimStep::Write(ticket.version))
    }

    /// Creates the calls that give a claim back.
    pub fn release(ticket: &ClaimHandle) -> Self {
        let first = match ticket.version {
            0 => ClaimStep::Read,
            version => ClaimStep::Delete(version),
        };
        Self::new(ticket.id, first)
    }

    /// Returns the first call.
    pub fn first(&self) -> ClaimStep {
        self.last.clone()
    }

    /// Returns what follows from the reply to the last call.
    pub fn next(&mut self, reply: ClaimReply) -> ClaimStep {
        self.last = match reply {
            // A conflict after a lost answer means that the first write took effect.
            ClaimReply::Written(_) | ClaimReply::Conflict | ClaimReply::Absent => self.done(),
            ClaimReply::Found(version, record) if record.nonce == self.nonce => {
                ClaimStep::Delete(version)
            }
            ClaimReply::Found(..) => self.done(),
            ClaimReply::Lost | ClaimReply::Limited => self.retry(),
        };
        self.last.clone()
    }

    /// Returns the calls that have had no useful answer.
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    fn new(id: RequestId, first: ClaimStep) -> Self {
        Self {
            id,
            nonce: ClaimNonce::of(id),
            last: first,
            failures: 0,
        }
    }

    const fn done(&self) -> ClaimStep {
        ClaimStep::Done(ClaimOutcome::Closed(self.id))
    }

    fn retry(&mut self) -> ClaimStep {
        self.failures += 1;
        if self.failures < FAILURES_MAX {
            self.last.clone()
        } else {
            self.done()
        }
    }
}
