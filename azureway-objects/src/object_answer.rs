//! An answer of the platform, read into memory.

/// The answer to a call of an object API.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ObjectAnswer {
    /// The HTTP status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}
