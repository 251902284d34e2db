//! Streams that arrive complete and in order.

mod delivery;
mod progress;

pub use delivery::Delivery;
pub use progress::StreamProgress;
