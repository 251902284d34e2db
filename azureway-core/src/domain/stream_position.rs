//! Positions in answer streams, at which a broken stream resumes.

number_type! {
    /// A position in a stream, as the number of events that come before it.
    StreamPosition
}
