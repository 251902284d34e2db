//! The use of client accounts at the entry instances of one availability zone.

use std::time::Duration;

use super::AccountUse;
use crate::domain::ZoneId;

/// The sum of the reports of an availability zone's entry instances.
///
/// Sums keep messages between zones as small as those within one, whatever the number of entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneDemand {
    /// The availability zone.
    pub zone: ZoneId,
    /// The number of entry instances whose reports are in the sums.
    pub entries: u32,
    /// The mean age of the reports.
    pub age: Duration,
    /// The use of each account.
    pub accounts: Vec<AccountUse>,
}
