//! Orders to backend servers: which server loads which weights, and when.

mod answers;
mod config;
mod held_server;
mod listing;
mod load_mode;
mod load_order;
mod load_progress;
mod order_answer;
mod order_counts;
mod order_status;
mod pending_load;
mod planner;
mod pool_view;
mod store_limiter;
mod unanswered_orders;

use std::time::Duration;

pub use config::OrderConfig;
pub use held_server::HeldServer;
pub use load_mode::LoadMode;
pub use load_order::LoadOrder;
pub use load_progress::LoadProgress;
pub use order_answer::OrderAnswer;
pub use order_counts::OrderCounts;
pub use order_status::OrderStatus;
pub use pending_load::PendingLoad;
pub use planner::OrderPlanner;
pub use pool_view::PoolView;
pub use store_limiter::StoreLimiter;
pub use unanswered_orders::UnansweredOrders;

/// The delay before a failed order is sent again. By then, a server that is merely slow has
/// replied. A server that crashed needs longer than this to restart.
const RETRY_DELAY: Duration = Duration::from_secs(1);
