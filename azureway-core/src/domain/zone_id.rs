//! The names by which entries and backend servers refer to their availability zone.

name_type! {
    /// The name of an availability zone.
    ZoneId
}
