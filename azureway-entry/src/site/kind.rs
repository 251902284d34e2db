//! The kinds of platform objects that are watched, each by a watcher of its own.

/// The kinds of objects that a site's platform holds for the system.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiteKind {
    /// Versions of the configuration.
    Document,
    /// The listed backend servers.
    Servers,
    /// The weights that operators have named.
    Weights,
}

impl SiteKind {
    /// Every kind, each of which has a watcher of its own.
    pub const ALL: [Self; 3] = [Self::Document, Self::Servers, Self::Weights];

    /// Returns the name of the kind in logs and thread names.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Document => "document",
            Self::Servers => "servers",
            Self::Weights => "weights",
        }
    }
}
