//! The message between peers.

use super::{AccountDemand, News};
use crate::domain::{ConfigVersion, Instance};

/// The message between peers: a heartbeat, and in the same shape the answer to one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Heartbeat {
    /// The sender.
    pub from: Instance,
    /// The version of the configuration that the sender has in force.
    pub version: ConfigVersion,
    /// A digest of the instances that the sender believes to be live.
    pub sum: u64,
    /// Whether the sender asks for all news or, in an answer, gives all.
    pub whole: bool,
    /// News.
    pub news: Vec<News>,
    /// What client accounts ask of the sender.
    pub demand: Vec<AccountDemand>,
}
