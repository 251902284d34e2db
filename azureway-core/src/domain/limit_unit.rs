//! What the limit of a client account counts.

/// The unit in which the use of a client account is counted against its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum LimitUnit {
    /// Each request counts as one.
    Requests,
    /// Each request counts as the tokens of its prompt and of its longest answer.
    Tokens,
}
