//! What an entry knows of a lease.

use crate::domain::{FencingNumber, Timestamp};

/// What an entry knows of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseState {
    /// Nothing.
    Unknown,
    /// Nobody has ever held it.
    Free,
    /// Somebody holds it or has held it: the version, its fencing number, and since when the
    /// version has been seen.
    Seen(u64, FencingNumber, Timestamp),
    /// This entry held it last and nobody has taken it since: the version and fencing number.
    Lapsed(u64, FencingNumber),
    /// This entry holds it: the version, the fencing number and the end.
    Held(u64, FencingNumber, Timestamp),
}
