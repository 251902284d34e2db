//! The message between peers.

use super::GossipUpdate;
use crate::domain::{AccountId, ConfigVersion, Instance, TokenRate};

/// The message between peers: a heartbeat, and in the same shape the answer to one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub from: Instance,
    /// The version of the configuration that the sender has in force.
    pub version: ConfigVersion,
    /// A digest of the instances that the sender believes to be live.
    pub digest: u64,
    /// Whether the sender asks for all news or, in an answer, gives all.
    pub full: bool,
    /// News.
    pub updates: Vec<GossipUpdate>,
    /// The tokens a second that client accounts ask of the sender, the most first.
    pub demand: Vec<(AccountId, TokenRate)>,
}
