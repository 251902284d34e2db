//! A backend server's request to get nothing from this entry for some time.

use crate::domain::{Incarnation, Pause, ServerId};

/// The pause that a backend server asked for as it rejected a request of this entry. It concerns no
/// other entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PauseNotice {
    /// The server that answered.
    pub server: ServerId,
    /// The incarnation that the request was sent to, if it was known.
    pub incarnation: Option<Incarnation>,
    /// The pause, which begins with the answer.
    pub pause: Pause,
}
