//! A message from the thread of an attempt to the caller's connection.

use azureway_core::prelude::StreamPosition;

use crate::exchange::AnswerHead;

/// A chunk of an answer that an attempt sends to the caller's connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerChunk {
    /// The data of an event and its position in the stream.
    Event(StreamPosition, Box<str>),
    /// A complete answer: response status, media type and body.
    Complete(u16, Box<str>, Vec<u8>),
    /// The response head of a stream whose bytes are forwarded unchanged.
    StreamHead(Box<AnswerHead>),
    /// Bytes of complete events of such a stream.
    StreamBytes(Vec<u8>),
    /// A complete answer that is forwarded unchanged.
    Forwarded(Box<AnswerHead>, Vec<u8>),
    /// An error answer of a server, which is forwarded only if no other attempt succeeds.
    Fallback(Box<AnswerHead>, Vec<u8>),
    /// The answer is complete.
    End,
}
