//! The commonly used types, for a glob import.

pub use crate::admit::{
    AccountLimits, AccountUse, Demand, FairQueue, LimitShare, PoolQueue, ZoneDemand,
};
pub use crate::cache::{Block, BlockKey, CacheIndex, CacheOp, CacheUpdate, PromptBlocks, Salt};
pub use crate::claim::{
    ClaimClosing, ClaimCommand, ClaimCreation, ClaimDecision, ClaimHandle, ClaimName, ClaimNonce,
    ClaimOperation, ClaimOutcome, ClaimRecord, ClaimReply, ClaimRequest, ClaimState, ClaimStep,
    ClaimSweep, ClaimTable, ShortAnswer,
};
pub use crate::config::{
    ChangeId, ChangeMetadata, ChangeTime, DocumentCheck, Edit, EditOutcome, EditReply, EditStep,
    History, Snapshot, TeamId, VersionGate,
};
pub use crate::domain::*;
pub use crate::error::{Error, ErrorKind, Step};
pub use crate::event::{
    Action, Dispatch, Event, Failure, FailureKind, Finish, Recall, RecallCause, SendState,
};
pub use crate::fleet::{
    Fleet, Health, LeavingCause, LeavingChange, LeavingMark, LoadReport, LoadSample, PaceMeter,
    PauseNotice, RouteTable, ServerState, ServerTable,
};
pub use crate::lease::{
    Lease, LeaseConfig, LeaseEra, LeaseRecord, LeaseReply, LeaseState, LeaseStep, LeaseWrite,
};
pub use crate::member::{
    GossipUpdate, Heartbeat, Liveness, LoadNotice, MemberUpdate, Membership, MembershipConfig,
    PeerAction, PeerEvent, ServerStatus, ServerUpdate,
};
pub use crate::memory::{HolderId, MemoryLedger, MemoryLimits, OwnLimits};
pub use crate::order::{
    LoadMode, LoadOrder, LoadProgress, OrderAnswer, OrderConfig, OrderPlanner, OrderStatus,
    StoreLimiter,
};
pub use crate::quarantine::{
    CrashReport, CrashReportState, CrashSite, CrashSubject, Quarantine, QuarantineChange,
    QuarantineRecord, SuspectStatus,
};
pub use crate::retry::{Backoff, RetryBudget, RetryBudgets, RetrySlack};
pub use crate::route::{
    Candidate, Estimate, LeastLoaded, Locality, Policy, PrefixHash, PrefixLoad, Rendezvous,
    ReplicaScaler, RequestProfile, RoundRobin, StaticSplit,
};
pub use crate::router::{ExclusionReason, Overview, RouteOption, Router, RouterConfig};
pub use crate::site::{ListedServer, NamedWeights, Rollouts, SiteDocument, SiteService, SiteState};
pub use crate::stream::{Delivery, StreamProgress};
pub use crate::tally::{Outcome, OutcomeCount, OutcomeTally};
pub use crate::watch::{
    AnsweredCall, ChangeBound, ChangeTimes, Disturbance, DisturbanceMeter, EntrySelector,
    FeedAudience, ReportTimes, WatchSchedule, WatchStep, ZoneReaders,
};
