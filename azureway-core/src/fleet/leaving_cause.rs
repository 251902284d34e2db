//! What began or ended the belief that a backend server leaves.

/// The reason for which an entry began or ceased to believe that a backend server leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LeavingCause {
    /// The server said so with an answer to this entry.
    Answer,
    /// Another entry passed on that the server said so.
    Peer,
    /// Another incarnation of the server has started.
    Restart,
    /// The server reported that it does not leave, after another entry had said that it does.
    Report,
    /// The longest time for which a server is believed to leave has passed.
    Timeout,
}

impl LeavingCause {
    /// Returns the name of the cause as the log prints it.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Peer => "peer",
            Self::Restart => "restart",
            Self::Report => "report",
            Self::Timeout => "timeout",
        }
    }
}
