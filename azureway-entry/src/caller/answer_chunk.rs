//! A chunk of an answer.

use azureway_core::prelude::StreamPosition;

/// A chunk of an answer, from a relay to a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerChunk {
    /// An event of a stream at its position.
    Event(StreamPosition, Box<str>),
    /// A whole answer: status, media type and body.
    Whole(u16, Box<str>, Vec<u8>),
    /// The answer is complete.
    End,
}
