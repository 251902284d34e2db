//! Which request is served next.

mod admission;
mod allowance;
mod blocked;
mod demand;
mod demand_meter;
mod demand_share;
mod fair_queue;
mod limits;
mod queued;
mod service_class;
mod service_rate;

pub use admission::Admission;
pub use allowance::Allowance;
pub use blocked::Blocked;
pub use demand::Demand;
pub use demand_meter::DemandMeter;
pub use demand_share::DemandShare;
pub use fair_queue::FairQueue;
pub use limits::Limits;
pub use queued::Queued;
pub use service_class::ServiceClass;
pub use service_rate::ServiceRate;
