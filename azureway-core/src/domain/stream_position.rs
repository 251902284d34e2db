//! The position of an event in a stream.

number_type! {
    /// A position in a stream, as the number of events that come before it.
    StreamPosition
}
