//! Decides the calls that finish or release a claim, and repeats those that fail.

use super::{ClaimHandle, ClaimNonce, ClaimOutcome, ClaimReply, ClaimStep};
use crate::domain::RequestId;

/// The platform calls that finish or release a claim.
///
/// If they fail, the claim stays open, which is safe: no request with its key runs again.
#[derive(Clone, Debug)]
pub struct ClaimClosing {
    id: RequestId,
    nonce: ClaimNonce,
    last: ClaimStep,
    failures: u32,
}

/// The number of calls without a usable answer after which the claim is left open.
const MAX_FAILURES: u32 = 4;

impl ClaimClosing {
    /// Creates the calls that record the completion of a request.
    pub fn finish(handle: &ClaimHandle) -> Self {
        Self::new(handle.id, ClaimStep::Write(handle.version))
    }

    /// Creates the calls that release a claim.
    pub fn release(handle: &ClaimHandle) -> Self {
        let first = match handle.version {
            0 => ClaimStep::Read,
            version => ClaimStep::Delete(version),
        };
        Self::new(handle.id, first)
    }

    /// Returns the first call.
    pub fn first(&self) -> ClaimStep {
        self.last.clone()
    }

    /// Returns the step that follows the reply to the last call.
    pub fn next(&mut self, reply: ClaimReply) -> ClaimStep {
        self.last = match reply {
            // A conflict after a lost answer means that the earlier write took effect.
            ClaimReply::Written(_) | ClaimReply::Conflict | ClaimReply::Absent => self.done(),
            ClaimReply::Found(version, record) if record.nonce == self.nonce => {
                ClaimStep::Delete(version)
            }
            ClaimReply::Found(..) => self.done(),
            ClaimReply::Lost | ClaimReply::Limited => self.retry(),
        };
        self.last.clone()
    }

    /// Returns the number of calls that had no usable answer.
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
        if self.failures < MAX_FAILURES {
            self.last.clone()
        } else {
            self.done()
        }
    }
}
