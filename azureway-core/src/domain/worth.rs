//! The worth of requests, which the metrics sum by outcome.

number_type! {
    /// The worth of a request that is answered in time, in units that the operator chooses. It is
    /// summed by outcome in the metrics, and no routing decision depends on it.
    Worth
}
