//! Whether a received stream event is forwarded, is dropped or shows a gap.

/// The handling of a received stream event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The event is the next one: forward it.
    Next,
    /// The event was already forwarded or belongs to another attempt: drop it.
    Stale,
    /// Earlier events are missing: resume the stream.
    Gap,
}
