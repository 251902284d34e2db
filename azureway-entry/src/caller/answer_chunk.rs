//! A chunk of an answer.

use azureway_core::prelude::StreamPosition;

use crate::exchange::AnswerHead;

/// A chunk of an answer, from a relay to a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerChunk {
    /// An event of a stream at its position.
    Event(StreamPosition, Box<str>),
    /// A whole answer: status, media type and body.
    Complete(u16, Box<str>, Vec<u8>),
    /// The head of a stream whose bytes are passed on unchanged.
    StreamHead(Box<AnswerHead>),
    /// Whole events of such a stream.
    StreamBytes(Vec<u8>),
    /// A whole answer that is passed on unchanged.
    Forwarded(Box<AnswerHead>, Vec<u8>),
    /// A failure of the server's own, for the case that no other server does better.
    Fallback(Box<AnswerHead>, Vec<u8>),
    /// The answer is complete.
    End,
}
