//! Decides the calls that create a claim, also after a lost answer.

use super::{ClaimNonce, ClaimOutcome, ClaimReply, ClaimStep};
use crate::domain::RequestId;

/// The platform calls that create a claim. Each reply leads to the next call or to the outcome.
///
/// A lost answer is resolved by reading the object: its nonce tells whether this entry wrote it.
#[derive(Clone, Debug)]
pub struct ClaimCreation {
    id: RequestId,
    nonce: ClaimNonce,
    failures: u32,
}

/// The number of calls without a usable answer after which the platform counts as unavailable.
const MAX_FAILURES: u32 = 4;

impl ClaimCreation {
    /// Creates the calls for the claim of the request `id`.
    pub fn new(id: RequestId) -> Self {
        Self {
            id,
            nonce: ClaimNonce::of(id),
            failures: 0,
        }
    }

    /// Returns the first call.
    pub const fn first(&self) -> ClaimStep {
        ClaimStep::Write(0)
    }

    /// Returns the step that follows the reply to the last call.
    pub fn next(&mut self, reply: ClaimReply) -> ClaimStep {
        match reply {
            ClaimReply::Written(version) => self.granted(version),
            ClaimReply::Found(version, record) if record.nonce == self.nonce => {
                self.granted(version)
            }
            ClaimReply::Found(_, record) => {
                ClaimStep::Done(ClaimOutcome::AlreadyHeld(self.id, record))
            }
            ClaimReply::Conflict => ClaimStep::Read,
            // The holder released the claim, or a lost write did not take effect.
            ClaimReply::Absent => self.retry(ClaimStep::Write(0)),
            ClaimReply::Lost => self.retry(ClaimStep::Read),
            ClaimReply::Limited => self.retry(ClaimStep::Write(0)),
        }
    }

    /// Returns the number of calls that had no usable answer.
    pub const fn failures(&self) -> u32 {
        self.failures
    }

    const fn granted(&self, version: u64) -> ClaimStep {
        ClaimStep::Done(ClaimOutcome::Granted(self.id, version))
    }

    fn retry(&mut self, step: ClaimStep) -> ClaimStep {
        self.failures += 1;
        if self.failures < MAX_FAILURES {
            step
        } else {
            ClaimStep::Done(ClaimOutcome::Unavailable(self.id))
        }
    }
}
