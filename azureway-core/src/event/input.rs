//! The input of the router: everything that its driver reports.

use super::{Failure, Finish};
use crate::admit::ZoneDemand;
use crate::cache::CacheUpdate;
use crate::claim::ClaimOutcome;
use crate::domain::{Attempt, Request, RequestId, ServerId, Timestamp};
use crate::fleet::{Fleet, LoadReport, LoadSample, PauseNotice};
use crate::member::{LoadNotice, ServerUpdate};
use crate::quarantine::{CrashReport, QuarantineChange};

/// An event that the router handles.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A request arrived.
    Arrived(&'a Request),
    /// The caller of a request disconnected.
    CallerDisconnected(RequestId),
    /// A backend server began to answer an attempt.
    Started(Attempt),
    /// An attempt completed.
    Finished(&'a Finish),
    /// An attempt failed.
    Failed(&'a Failure),
    /// A claim command completed, successfully or not.
    Claim(&'a ClaimOutcome),
    /// A backend server reported changes of its cache.
    Cache(&'a CacheUpdate<'a>),
    /// A backend server reported its load.
    Load(&'a LoadReport),
    /// An answer carried a load sample of its backend server.
    LoadSample(&'a LoadSample),
    /// A backend server rejected a request and asked this entry for a pause.
    Paused(&'a PauseNotice),
    /// A version of the configuration was read.
    Configured(&'a Fleet),
    /// The number of live entry instances in this availability zone, including this instance,
    /// changed.
    ZoneEntries(u32),
    /// The number of entry instances that the platform lists in all availability zones changed.
    /// This instance is included, and so are instances that send no heartbeats.
    ListedEntries(u32),
    /// The use of client accounts at the entry instances of availability zones, as far as they have
    /// reported it.
    Demand(&'a [ZoneDemand]),
    /// A backend server said with an answer that one of its incarnations leaves.
    Announced(&'a ServerUpdate),
    /// Another entry instance reported a status change of a backend server.
    Server(&'a ServerUpdate),
    /// An entry instance is about to order a backend server to load weights, or the load has
    /// completed.
    Loading(&'a LoadNotice),
    /// Another entry instance reported a request that was running when a server failed.
    CrashReport(&'a CrashReport),
    /// The quarantined parts that the platform stores have changed.
    QuarantineChanged(&'a QuarantineChange),
    /// The platform was restored from a copy and may have lost quarantined parts.
    QuarantinesLost,
    /// The platform lists exactly these backend servers as leaving. The list is eventually
    /// consistent.
    Leaving(&'a [ServerId]),
    /// The instance is shutting down and admits no new requests.
    Draining,
    /// The instance is shutting down, admits no new requests and gives up unfinished ones at a time.
    Closing(Timestamp),
    /// A timer expired.
    Tick,
}
