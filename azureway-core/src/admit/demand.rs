//! The figures that entry instances exchange to divide account limits by demand.

use crate::domain::{AccountId, InstanceId, TokenRate};

/// The demand of client accounts at one entry instance, as broadcast to the other entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The entry instance that measured the demand.
    pub instance: InstanceId,
    /// The demand of each account, in tokens per second.
    pub rates: Vec<(AccountId, TokenRate)>,
}
