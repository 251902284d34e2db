//! The number of a process's run between two starts.

number_type! {
    /// An incarnation number. A process that restarts, and so loses its memory, takes a greater
    /// one.
    Incarnation
}
