//! The worth of a request to its caller.

number_type! {
    /// The worth of a request that is answered in time, in units that the operator chooses.
    Worth
}
