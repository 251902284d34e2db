//! What speaks against giving a backend server work.

/// What speaks against giving a backend server work. At equal incarnations the greater holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ServerStatus {
    /// An entry found it failing.
    Failed,
    /// It is leaving.
    Leaving,
}
