//! The states of the lease protocol, with what is known about the lease object in each.

use crate::domain::{FencingNumber, Timestamp};

/// The state of a lease as one entry knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// Nothing is known, and the object has to be read.
    Unknown,
    /// Nobody has held it yet.
    Free,
    /// Another process holds the lease or held it last: the object's version, and when this entry
    /// first read that version.
    Observed(u64, Timestamp),
    /// This entry held it last and may acquire it again at once: the object's version.
    Reclaimable(u64),
    /// This entry holds it: the object's version, the fencing number and the end of the term.
    Held(u64, FencingNumber, Timestamp),
}
