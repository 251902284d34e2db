//! Clients and servers that overload a process by moving bytes slowly, and probes of the process.

mod connection_crowd;
mod flood_kind;
mod flood_server;
mod overload_trial;
mod pace;
mod process_probe;

pub use connection_crowd::ConnectionCrowd;
pub use flood_kind::FloodKind;
pub use flood_server::FloodServer;
pub use overload_trial::OverloadTrial;
pub use pace::Pace;
pub use process_probe::ProcessProbe;
