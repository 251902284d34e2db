//! A sender's knowledge of whether a request ran, and so whether it may be repeated.

/// Whether a backend server may have run a request, as far as the sender can tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum SendState {
    /// No byte of the request can have reached the server.
    Unsent,
    /// The server reported that it did not run the request.
    Rejected,
    /// At least part of the request was sent, so it may have run.
    MaybeRun,
}

impl SendState {
    /// Returns whether the request certainly did not run.
    pub const fn is_not_run(self) -> bool {
        matches!(self, Self::Unsent | Self::Rejected)
    }
}
