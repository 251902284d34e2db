//! The input of the membership: messages from peers and changes at this entry.

use super::{Heartbeat, LoadNotice, ServerUpdate};
use crate::admit::Demand;
use crate::domain::{ConfigVersion, Instance, InstanceId};
use crate::quarantine::CrashReport;

/// An event that the membership handles.
#[derive(Clone, Copy, Debug)]
pub enum PeerEvent<'a> {
    /// A peer sent a heartbeat, which needs a reply.
    Heartbeat(&'a Heartbeat),
    /// A peer replied to a heartbeat.
    Reply(&'a Heartbeat),
    /// A peer did not reply to a heartbeat in time.
    Timeout(&'a InstanceId),
    /// A peer that was asked for its configuration returned none.
    FetchFailed(&'a InstanceId),
    /// The platform lists these instances as live; the list lags behind.
    Listed(&'a [Instance]),
    /// A configuration version has taken effect at this instance.
    Version(ConfigVersion),
    /// The demand of client accounts at this entry.
    Demand(&'a Demand),
    /// This entry observed that a backend server fails or is leaving.
    Server(&'a ServerUpdate),
    /// A crash report against a request of this entry was recorded, confirmed or cleared.
    CrashReport(&'a CrashReport),
    /// This entry is about to order a backend server to load weights.
    Loading(&'a LoadNotice),
    /// This instance is shutting down.
    Leaving,
    /// Nothing happened except that time passed, so timers may be due.
    Tick,
}
