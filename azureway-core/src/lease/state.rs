//! The state of a lease as one entry knows it.

use crate::domain::{FencingNumber, Timestamp};

/// The state of a lease as one entry knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// Nothing is known, and the object has to be read.
    Unknown,
    /// Nobody has held it yet.
    Free,
    /// Another process holds it or held it: the object's version, its fencing number, and when
    /// that version was first read.
    Observed(u64, FencingNumber, Timestamp),
    /// This entry held it last and may acquire it again at once: the object's version and its
    /// fencing number.
    Reclaimable(u64, FencingNumber),
    /// This entry holds it: the object's version, the fencing number and the end of the term.
    Held(u64, FencingNumber, Timestamp),
}
