//! Admission: account limits, and the order in which queued requests are served.

mod account_limits;
mod blocked_classes;
mod demand;
mod demand_meter;
mod fair_queue;
mod limit_share;
mod pool_queue;
mod queued_request;
mod service_class;
mod service_rate;
mod token_bucket;

pub use account_limits::AccountLimits;
pub use blocked_classes::BlockedClasses;
pub use demand::Demand;
pub use demand_meter::DemandMeter;
pub use fair_queue::FairQueue;
pub use limit_share::LimitShare;
pub use pool_queue::PoolQueue;
pub use queued_request::QueuedRequest;
pub use service_class::ServiceClass;
pub use service_rate::ServiceRate;
pub use token_bucket::TokenBucket;
