//! The configured fleet and what is known of each backend server in it.

mod configured;
mod health;
mod ledger;
mod load_report;
mod server_state;
mod server_table;
mod slot_share;
mod work;

pub use configured::Fleet;
pub use health::Health;
pub use ledger::Ledger;
pub use load_report::LoadReport;
pub use server_state::ServerState;
pub use server_table::ServerTable;
pub use slot_share::SlotShare;
pub use work::Work;
