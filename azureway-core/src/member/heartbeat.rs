//! The message that membership rounds exchange: updates, configuration versions and demand.

use super::GossipUpdate;
use crate::admit::{AccountUse, ZoneDemand};
use crate::domain::{ConfigVersion, Instance};

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
    /// The use of limited client accounts at the sender, highest demand first.
    pub demand: Vec<AccountUse>,
    /// The use of limited client accounts in availability zones, as far as the sender has heard of it.
    pub zones: Vec<ZoneDemand>,
}
