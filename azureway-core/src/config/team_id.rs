//! The name of a team.

name_type! {
    /// The name of a team of operators.
    TeamId
}

impl TeamId {
    /// The team that owns every section which names no other.
    pub const DEFAULT: &'static str = "operators";
}
