//! The kinds of objects that a site's platform holds for the system.

/// The kinds of objects that a site's platform holds for the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteKind {
    /// The configuration.
    Document,
    /// The backend servers.
    Servers,
    /// The weights that operators name.
    Weights,
}

impl SiteKind {
    /// Every kind.
    pub const ALL: [Self; 3] = [Self::Document, Self::Servers, Self::Weights];

    /// Returns the name of the kind, for logs and threads.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Document => "document",
            Self::Servers => "servers",
            Self::Weights => "weights",
        }
    }
}
