//! The kinds of calls to the platform, which are counted apart.

/// A kind of call of the object API.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// Reads one object.
    Get,
    /// Reads a page of a list.
    List,
    /// Reads a page of a list that may be seconds old.
    ListStale,
    /// Waits for changes.
    Watch,
    /// Creates or replaces an object.
    Put,
    /// Deletes an object.
    Delete,
}

impl CallKind {
    /// Every kind, in the order of their numbers.
    pub const ALL: [Self; 6] = [
        Self::Get,
        Self::List,
        Self::ListStale,
        Self::Watch,
        Self::Put,
        Self::Delete,
    ];

    /// Returns the name of the kind in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::List => "list",
            Self::ListStale => "list_stale",
            Self::Watch => "watch",
            Self::Put => "put",
            Self::Delete => "delete",
        }
    }
}
