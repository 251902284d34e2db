//! The identity of a change.

name_type! {
    /// The identity of a change, drawn by its writer before the first try.
    ChangeId
}
