//! The common types, for a glob import.

pub use crate::admit::{Admission, FairQueue};
pub use crate::cache::{Block, BlockChain, BlockKey, CacheIndex, CacheOp, CacheUpdate, Salt};
pub use crate::domain::*;
pub use crate::error::{Error, ErrorKind, Step};
pub use crate::event::{Action, Dispatch, Event, Failure, FailureKind, Finish, SendState};
pub use crate::fleet::{Fleet, Health, LoadReport, ServerState, ServerTable};
pub use crate::member::{
    Demand, Heartbeat, Liveness, MemberConfig, MemberNews, Membership, News, PeerAction, PeerEvent,
    ServerNews, ServerSign,
};
pub use crate::quarantine::{CrashSite, Quarantine, Standing, Strike, StrikeState};
pub use crate::retry::{Backoff, RetryBudget};
pub use crate::route::{
    Candidate, Estimate, Job, LeastLoaded, Policy, PrefixHash, PrefixLoad, Rendezvous, RoundRobin,
};
pub use crate::router::{Router, RouterConfig};
pub use crate::stream::{Delivery, StreamProgress};
