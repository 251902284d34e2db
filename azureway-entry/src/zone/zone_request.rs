//! A request for the changes of a kind of platform objects.

use std::time::Duration;

use azureway_core::prelude::StoreEra;

use crate::site::SiteKind;

/// What an entry asks of the entry that reads the platform for its zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ZoneRequest {
    /// The kind of objects.
    pub kind: SiteKind,
    /// The era of the platform's store that the caller knows.
    pub era: Option<StoreEra>,
    /// The version up to which the caller knows every change.
    pub after: u64,
    /// The time to wait while nothing changes.
    pub wait: Duration,
    /// The number of requests before this one that failed. Another reader is asked after each.
    pub attempt: usize,
    /// Whether the caller cannot reach the platform. It then asks any entry, and takes all objects if
    /// the changes are not known.
    pub lost: bool,
}
