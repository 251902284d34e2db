//! Objects that a list or a watch returns.

use serde::{Deserialize, Serialize};

use super::ObjectBody;

/// Objects that a list or a watch returns, and the version up to which they are complete.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct ObjectList {
    /// The version from which a watch goes on.
    pub version: u64,
    /// The objects.
    pub objects: Vec<ObjectBody>,
}
