//! The configured fleet and the runtime state of its backend servers.

mod configured;
mod gone_server;
mod gone_servers;
mod health;
mod leaving_cause;
mod leaving_change;
mod leaving_mark;
mod leaving_marks;
mod load_report;
mod load_sample;
mod local_work;
mod pace_meter;
mod pause_hold;
mod pause_notice;
mod rate_share;
mod reported_work;
mod route_table;
mod server_failure;
mod server_leaving;
mod server_pauses;
mod server_state;
mod server_table;
mod slot_share;
mod work;

pub use configured::Fleet;
pub use health::Health;
pub use leaving_cause::LeavingCause;
pub use leaving_change::LeavingChange;
pub use leaving_mark::LeavingMark;
pub use leaving_marks::LeavingMarks;
pub use load_report::LoadReport;
pub use load_sample::LoadSample;
pub use local_work::LocalWork;
pub use pace_meter::PaceMeter;
pub use pause_hold::PauseHold;
pub use pause_notice::PauseNotice;
pub use rate_share::RateShare;
pub use reported_work::ReportedWork;
pub use route_table::RouteTable;
pub use server_state::ServerState;
pub use server_table::ServerTable;
pub use slot_share::SlotShare;
pub use work::Work;

use gone_server::GoneServer;
use gone_servers::GoneServers;
