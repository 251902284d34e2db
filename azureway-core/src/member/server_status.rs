//! The reasons that entries report for sending a backend server no requests.

/// Why a backend server should get no requests.
///
/// Of two statuses for the same incarnation, the greater one takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum ServerStatus {
    /// An entry observed that it fails.
    Failed,
    /// It is shutting down.
    Leaving,
}
