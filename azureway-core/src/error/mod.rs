//! The one error type of the library, with its kind, its step and its peer.

mod kind;
mod report;
mod step;

pub use kind::ErrorKind;
pub use report::Error;
pub use step::Step;

/// The result of a fallible operation of the library.
pub type Result<T> = std::result::Result<T, Error>;
