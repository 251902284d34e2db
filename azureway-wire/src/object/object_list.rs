//! The answer to a list or watch request.

use serde::{Deserialize, Serialize};

use super::ObjectBody;

/// The objects that a list or watch request returns, and the version up to which they are
/// complete.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct ObjectList {
    /// The version from which the next watch request continues.
    pub version: u64,
    /// The objects.
    pub objects: Vec<ObjectBody>,
}
