//! What an entry has heard of the use of client accounts in one availability zone.

use std::collections::HashMap;

use crate::domain::{AccountId, Timestamp};

/// The figures of one availability zone.
#[derive(Clone, Debug)]
pub(super) struct ZoneReport {
    /// The time at which the figures were measured.
    pub(super) measured: Timestamp,
    /// The number of entries that the figures cover.
    pub(super) entries: u32,
    /// The demand and the use of each account, in units per second.
    pub(super) accounts: HashMap<AccountId, (f64, f64)>,
}
