//! How requests ended, and what that was worth.

mod book;
mod count;
mod open_request;
mod outcome;

pub use book::Tally;
pub use count::Count;
pub use open_request::OpenRequest;
pub use outcome::Outcome;
