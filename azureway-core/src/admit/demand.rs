//! What client accounts ask for at one entry.

use crate::domain::{AccountId, InstanceId, TokenRate};

/// What client accounts ask for at one entry instance, as it tells the others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The instance.
    pub instance: InstanceId,
    /// The tokens a second that each account asks for.
    pub rates: Vec<(AccountId, TokenRate)>,
}
