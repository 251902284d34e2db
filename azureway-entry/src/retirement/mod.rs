//! The duty that keeps at the platform which weights were given up, so that an entry which starts later does not
//! use them again.

mod retirement_keeper;
mod retirement_message;

pub use retirement_keeper::RetirementKeeper;
pub use retirement_message::RetirementMessage;
