//! What is to be done with an event of a stream.

/// What is to be done with an event of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It is the next one: pass it on.
    Next,
    /// It was passed on before, or belongs to another try: drop it.
    Stale,
    /// Events before it are missing: the stream must be resumed.
    Gap,
}
