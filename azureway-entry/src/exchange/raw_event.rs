//! An event of a stream as it was sent.

/// An event of a stream as it was sent: its bytes, with the number that it carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RawEvent<'a> {
    /// The number, where the event carries one.
    pub id: Option<u64>,
    /// The bytes with the blank line that ends them.
    pub bytes: &'a [u8],
}
