//! Orders to backend servers: which server loads which weights, and when.

mod config;
mod held_server;
mod load_mode;
mod load_order;
mod pending_load;
mod planner;
mod pool_view;
mod store_limiter;

pub use config::OrderConfig;
pub use held_server::HeldServer;
pub use load_mode::LoadMode;
pub use load_order::LoadOrder;
pub use pending_load::PendingLoad;
pub use planner::OrderPlanner;
pub use pool_view::PoolView;
pub use store_limiter::StoreLimiter;
