//! How state, messages, processor time and memory grow with the size of what is served.

mod account_probe;
mod beat_probe;
mod block_probe;
mod change_probe;
mod command;
mod event_probe;
mod flight_probe;
mod heap;
mod lookup_probe;
mod member_probe;
mod peer_probe;
mod probe;
mod replica_probe;
mod sample;
mod slope;
mod wait_probe;

pub use account_probe::AccountProbe;
pub use beat_probe::BeatProbe;
pub use block_probe::BlockProbe;
pub use change_probe::ChangeProbe;
pub use command::{command, run};
pub use event_probe::EventProbe;
pub use flight_probe::InFlightProbe;
pub use heap::Heap;
pub use lookup_probe::LookupProbe;
pub use member_probe::MemberProbe;
pub use peer_probe::PeerProbe;
pub use probe::Probe;
pub use replica_probe::ReplicaProbe;
pub use sample::Sample;
pub use slope::Slope;
pub use wait_probe::WaitProbe;
