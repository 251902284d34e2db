//! The unparsed bytes of a stream's event.

/// The unparsed bytes of a server-sent event, with its numeric ID.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RawEvent<'a> {
    /// The ID, if the event has a numeric one.
    pub id: Option<u64>,
    /// The bytes of the event up to and including the blank line that ends it.
    pub bytes: &'a [u8],
}
