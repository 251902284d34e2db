//! The answer to a call to a backend server.

/// The whole answer to a call to a backend server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallAnswer {
    /// The status code.
    pub status: u16,
    /// The body.
    pub body: Vec<u8>,
}
