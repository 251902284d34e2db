//! How the answer to a request ended.

/// How the answer to a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerEnd {
    /// It is complete, and the connection may carry another request.
    Complete,
    /// It is complete, and the connection is to be closed.
    Last,
    /// It broke off, or the caller is gone.
    Broken,
}

impl AnswerEnd {
    /// Returns the ending of a complete answer, after which the connection is to be closed or
    /// not.
    pub const fn complete(close: bool) -> Self {
        if close { Self::Last } else { Self::Complete }
    }
}
