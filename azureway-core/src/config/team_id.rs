//! The names of the teams that own the sections of the document.

name_type! {
    /// The name of a team of operators.
    TeamId
}

impl TeamId {
    /// The team that owns every section that names no team.
    pub const DEFAULT: &'static str = "operators";
}
