//! Measurements of how memory, message sizes and operation times grow with the load.

mod account_probe;
mod block_probe;
mod cache_event_probe;
mod command;
mod demand_probe;
mod document_probe;
mod heap;
mod heartbeat_probe;
mod in_flight_probe;
mod lookup_probe;
mod membership_probe;
mod probe;
mod queue_probe;
mod sample;
mod server_probe;
mod slope;

pub use account_probe::AccountProbe;
pub use block_probe::BlockProbe;
pub use cache_event_probe::CacheEventProbe;
pub use command::{command, run};
pub use demand_probe::DemandProbe;
pub use document_probe::DocumentProbe;
pub use heap::Heap;
pub use heartbeat_probe::HeartbeatProbe;
pub use in_flight_probe::InFlightProbe;
pub use lookup_probe::LookupProbe;
pub use membership_probe::MembershipProbe;
pub use probe::Probe;
pub use queue_probe::QueueProbe;
pub use sample::Sample;
pub use server_probe::ServerProbe;
pub use slope::Slope;
