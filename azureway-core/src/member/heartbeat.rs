//! The message that membership rounds exchange: updates, configuration versions and demand.

use super::GossipUpdate;
use crate::domain::{AccountId, ConfigVersion, Instance, TokenRate};

/// The gossip message between peers, used for a heartbeat and for the reply to one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sending instance.
    pub from: Instance,
    /// The configuration version in effect at the sender.
    pub version: ConfigVersion,
    /// The digest of the instances that the sender considers live.
    pub digest: u64,
    /// Whether the sender requests a full sync or, in a reply, returns all of its updates.
    pub full: bool,
    /// The updates that the sender passes on.
    pub updates: Vec<GossipUpdate>,
    /// The demand of client accounts at the sender, in tokens per second, highest first.
    pub demand: Vec<(AccountId, TokenRate)>,
}
