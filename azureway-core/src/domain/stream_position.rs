//! The place of an event within a stream.

number_type! {
    /// The number of events of a stream that come before this place.
    StreamPosition
}
