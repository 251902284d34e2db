//! The output of the lease protocol: the next platform call, or a wait.

use super::LeaseRecord;
use crate::domain::Timestamp;

/// The next step for a lease, which the caller carries out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read the object.
    Read,
    /// Write the record if the object has this version, where 0 means that it does not exist.
    Write(u64, LeaseRecord),
    /// Do nothing until this time.
    Wait(Timestamp),
}
