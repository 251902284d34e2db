//! The life of a process between two starts.

number_type! {
    /// An incarnation: a process that restarts, and so loses its memory, takes a greater one.
    Incarnation
}
