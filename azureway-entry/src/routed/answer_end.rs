//! The next step of a connection after an answer: carry another request or close.

/// The end of the answer to a request, and its consequence for the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// The answer is complete, and the connection may carry another request.
    KeepAlive,
    /// The answer is complete, and the connection must be closed.
    Close,
    /// The answer was cut short, or the caller has disconnected.
    Aborted,
}

impl AnswerEnd {
    /// Returns the end of a complete answer. With `close`, the connection must be closed.
    pub const fn complete(close: bool) -> Self {
        if close { Self::Close } else { Self::KeepAlive }
    }
}
