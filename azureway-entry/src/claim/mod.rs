//! The claiming duty: claims at the platform, which ensure that a request runs at most once.

mod claim_client;
mod claim_rings;
mod claim_task;
mod claimer;
mod kind;
mod sweeper;

pub use claim_client::ClaimClient;
pub use claim_rings::ClaimRings;
pub use claim_task::ClaimTask;
pub use claimer::Claimer;
pub use sweeper::Sweeper;
