//! The claim on an idempotency key as the platform stores it, in JSON.

use azureway_core::prelude::{
    ClaimNonce, ClaimRecord, ClaimState, Error, ErrorKind, Fingerprint, Step,
};
use serde::{Deserialize, Serialize};

use super::ClaimAnswer;

/// The stored form of a claim.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ClaimBody {
    /// The nonce of the holder.
    pub nonce: String,
    /// The fingerprint of the request, as 32 hexadecimal digits.
    pub fingerprint: String,
    /// The time at which the claim was written, in seconds since the Unix epoch by the holder's
    /// clock.
    pub made: u64,
    /// Whether the request has finished.
    #[serde(default)]
    pub finished: bool,
    /// The answer, if it is stored.
    #[serde(default)]
    pub answer: Option<ClaimAnswer>,
}

impl ClaimBody {
    /// Creates the stored form of a record that is written at `made`, in seconds since the Unix
    /// epoch.
    pub fn new(record: &ClaimRecord, made: u64) -> Self {
        let (finished, answer) = match &record.state {
            ClaimState::Open => (false, None),
            ClaimState::Finished(answer) => (true, answer.as_ref().map(ClaimAnswer::from)),
        };
        Self {
            nonce: record.nonce.to_string(),
            fingerprint: record.fingerprint.to_string(),
            made,
            finished,
            answer,
        }
    }
}

impl TryFrom<ClaimBody> for ClaimRecord {
    type Error = Error;

    fn try_from(body: ClaimBody) -> Result<Self, Error> {
        let number = u128::from_str_radix(&body.fingerprint, 16).map_err(|e| {
            let step = Step::new("read claim");
            Error::new(
                ErrorKind::Protocol,
                step,
                format_args!("invalid fingerprint: {e}"),
            )
        })?;
        let state = if body.finished {
            ClaimState::Finished(body.answer.map(Into::into))
        } else {
            ClaimState::Open
        };
        Ok(Self {
            nonce: ClaimNonce::new(&body.nonce),
            fingerprint: Fingerprint::from_bytes(number.to_be_bytes()),
            state,
        })
    }
}
