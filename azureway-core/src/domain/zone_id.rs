//! The name of an availability zone.

name_type! {
    /// The name of an availability zone.
    ZoneId
}
