//! The figures that entry instances exchange to keep account limits together.

use super::AccountUse;
use crate::domain::InstanceId;

/// The use of limited client accounts at one entry instance, as it tells the other entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The entry instance that measured the use.
    pub instance: InstanceId,
    /// The use of each account.
    pub accounts: Vec<AccountUse>,
}
