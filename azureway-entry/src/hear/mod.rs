//! The hearing duty: one thread for each model engine that the entry hears.

mod hearer;
mod hearers;
mod listening;

pub use hearer::Hearer;
pub use hearers::Hearers;
pub use listening::Listening;
