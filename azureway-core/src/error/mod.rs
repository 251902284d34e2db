//! The error type of the library, with the kind, the step and the peer of an error.

mod kind;
mod report;
mod step;

pub use kind::ErrorKind;
pub use report::Error;
pub use step::Step;

/// The result of a fallible operation of the library.
pub type Result<T> = std::result::Result<T, Error>;
