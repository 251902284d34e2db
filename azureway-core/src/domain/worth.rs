//! What a request is worth to its caller.

number_type! {
    /// The worth of a request answered in time, in the operator's own units.
    Worth
}
