//! What the router is told.

use super::{Failure, Finish};
use crate::admit::Demand;
use crate::cache::CacheUpdate;
use crate::claim::ClaimOutcome;
use crate::domain::{Attempt, Request, RequestId, ServerId};
use crate::fleet::{Fleet, LoadReport, LoadSample};
use crate::member::{LoadNotice, ServerUpdate};
use crate::quarantine::Strike;

/// What the router is told.
#[derive(Clone, Copy, Debug)]
pub enum Event<'a> {
    /// A request arrived.
    Arrived(&'a Request),
    /// The caller of a request hung up.
    CallerDisconnected(RequestId),
    /// A backend server began to answer a try.
    Started(Attempt),
    /// A try ended well.
    Finished(&'a Finish),
    /// A try failed.
    Failed(&'a Failure),
    /// A call for a claim ended.
    Claim(&'a ClaimOutcome),
    /// A backend server told of its cache.
    Cache(&'a CacheUpdate<'a>),
    /// A backend server told of its load.
    Load(&'a LoadReport),
    /// An answer told something of its backend server.
    LoadSample(&'a LoadSample),
    /// A version of the configuration was read.
    Configured(&'a Fleet),
    /// The number of live entry instances of this availability zone changed; it counts
    /// this one.
    ZoneEntries(u32),
    /// The number of entry instances of all availability zones that the platform lists
    /// changed; it counts this one, and those that are not heard of.
    ListedEntries(u32),
    /// Another entry instance told what client accounts ask for there.
    Demand(&'a Demand),
    /// Another entry instance told of a backend server.
    Server(&'a ServerUpdate),
    /// An entry instance is about to order a backend server to load weights.
    Loading(&'a LoadNotice),
    /// Another entry instance told of a request that was running when a server broke.
    Strike(&'a Strike),
    /// The platform lists these backend servers as leaving, and no others. The list lags.
    Leaving(&'a [ServerId]),
    /// The instance shuts down: nothing new is taken.
    Draining,
    /// Time passed.
    Tick,
}
