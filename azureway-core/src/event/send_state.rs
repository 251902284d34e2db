//! Whether a server may have run a request.

/// Whether a backend server may have run a request, as far as the sender can know.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendState {
    /// No byte of the request can have reached the server.
    Unsent,
    /// The server itself said that it did not run the request.
    Rejected,
    /// The request was sent, wholly or in part, so it may have run.
    MaybeRun,
}

impl SendState {
    /// Tells whether it is certain that the request did not run.
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::Unsent | Self::Rejected)
    }
}
