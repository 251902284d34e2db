//! The decisions put together.

mod config;
mod decider;
mod dispatcher;
mod flight;
mod flights;
mod intake;
mod obstacle;
mod overview;
mod placement;
mod plan;
mod queues;
mod retries;
mod retry;
mod route_option;
mod suspects;
mod verdict;
mod views;
mod want;

pub use config::RouterConfig;
pub use decider::Router;
pub use dispatcher::Dispatcher;
pub use flight::Flight;
pub use flights::Flights;
pub use intake::Intake;
pub use obstacle::Obstacle;
pub use overview::Overview;
pub use placement::Placement;
pub use plan::Plan;
pub use queues::Queues;
pub use retries::Retries;
pub use retry::Retry;
pub use route_option::RouteOption;
pub use verdict::Verdict;
pub use want::Want;
