//! Admission: account limits, and the order in which queued requests are served.

mod account_level;
mod account_limits;
mod account_use;
mod blocked_classes;
mod charge;
mod demand;
mod demand_meter;
mod fair_queue;
mod group_use;
mod limit_refusal;
mod limit_share;
mod pool_queue;
mod queued_request;
mod service_class;
mod service_rate;
mod token_bucket;
mod zone_demand;
mod zone_report;

pub use account_level::AccountLevel;
pub use account_limits::AccountLimits;
pub use account_use::AccountUse;
pub use blocked_classes::BlockedClasses;
pub use charge::Charge;
pub use demand::Demand;
pub use demand_meter::DemandMeter;
pub use fair_queue::FairQueue;
pub use group_use::GroupUse;
pub use limit_refusal::LimitRefusal;
pub use limit_share::LimitShare;
pub use pool_queue::PoolQueue;
pub use queued_request::QueuedRequest;
pub use service_class::ServiceClass;
pub use service_rate::ServiceRate;
pub use token_bucket::TokenBucket;
pub use zone_demand::ZoneDemand;
