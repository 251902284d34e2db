//! The decisions put together.

mod attempt_plan;
mod config;
mod decider;
mod dispatcher;
mod hearing;
mod in_flight;
mod in_flight_table;
mod intake;
mod obstacle;
mod overview;
mod placement;
mod placement_request;
mod queues;
mod retries;
mod retry;
mod route_option;
mod sharing;
mod suspects;
mod verdict;
mod views;

pub use attempt_plan::AttemptPlan;
pub use config::RouterConfig;
pub use decider::Router;
pub use dispatcher::Dispatcher;
pub use in_flight::InFlight;
pub use in_flight_table::InFlightTable;
pub use intake::Intake;
pub use obstacle::Obstacle;
pub use overview::Overview;
pub use placement::Placement;
pub use placement_request::PlacementRequest;
pub use queues::Queues;
pub use retries::Retries;
pub use retry::Retry;
pub use route_option::RouteOption;
pub use verdict::Verdict;
