//! The router, which combines admission, queueing, placement and retries.

mod admission_check;
mod attempt_plan;
mod config;
mod decider;
mod dispatcher;
mod exclusion_reason;
mod in_flight;
mod in_flight_table;
mod overview;
mod placement;
mod placement_request;
mod queues;
mod reports;
mod retry;
mod retry_decision;
mod retry_queue;
mod route_option;
mod sharing;
mod suspects;
mod views;

pub use admission_check::AdmissionCheck;
pub use attempt_plan::AttemptPlan;
pub use config::RouterConfig;
pub use decider::Router;
pub use dispatcher::Dispatcher;
pub use exclusion_reason::ExclusionReason;
pub use in_flight::InFlight;
pub use in_flight_table::InFlightTable;
pub use overview::Overview;
pub use placement::Placement;
pub use placement_request::PlacementRequest;
pub use queues::Queues;
pub use retry::Retry;
pub use retry_decision::RetryDecision;
pub use retry_queue::RetryQueue;
pub use route_option::RouteOption;
