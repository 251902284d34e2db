//! The number that tells a restarted process from its earlier runs.

number_type! {
    /// An incarnation number. A process that restarts has lost its state, and takes a greater
    /// number.
    Incarnation
}
