//! Complete, in-order delivery of streams across attempts.

mod delivery;
mod progress;

pub use delivery::Delivery;
pub use progress::StreamProgress;
