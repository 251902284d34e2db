//! The pace of a client.

/// What a slow client does after it has sent the fast part of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// Reads this many bytes at full speed, then a few bytes each second.
    ReadThenTrickle(usize),
    /// Reads nothing and sends a few bytes each second.
    SendTrickle,
}
