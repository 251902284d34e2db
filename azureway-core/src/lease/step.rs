//! What is to be done next for a lease.

use super::LeaseRecord;
use crate::domain::Timestamp;

/// What is to be done next for a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseStep {
    /// Read the object.
    Read,
    /// Write the record if the object has this version; 0 stands for none.
    Write(u64, LeaseRecord),
    /// Nothing before this time.
    Wait(Timestamp),
}
