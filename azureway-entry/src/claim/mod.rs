//! The claiming duty: at most once, through the platform.

mod claim_client;
mod claim_order;
mod claim_rings;
mod claimer;
mod kind;
mod sweeper;

pub use claim_client::ClaimClient;
pub use claim_order::ClaimOrder;
pub use claim_rings::ClaimRings;
pub use claimer::Claimer;
pub use sweeper::Sweeper;
