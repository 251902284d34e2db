//! The configured fleet and what is known of each backend server in it.

mod configured;
mod health;
mod load_report;
mod server_state;
mod server_table;

pub use configured::Fleet;
pub use health::Health;
pub use load_report::LoadReport;
pub use server_state::ServerState;
pub use server_table::ServerTable;
