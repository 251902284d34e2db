//! The lease whose holder sends load orders, kept in an object of the platform. It needs no
//! synchronized clocks.

mod config;
mod holder;
mod lease_era;
mod record;
mod reply;
mod state;
mod step;
mod write;

pub use config::LeaseConfig;
pub use holder::Lease;
pub use lease_era::LeaseEra;
pub use record::LeaseRecord;
pub use reply::LeaseReply;
pub use state::LeaseState;
pub use step::LeaseStep;
pub use write::LeaseWrite;
