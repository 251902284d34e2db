//! An object of the platform.

use serde::{Deserialize, Serialize};

/// An object of the platform, with its version.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ObjectBody {
    /// The name.
    pub name: String,
    /// The version of the object; each change of any object takes a greater one.
    pub version: u64,
    /// The value.
    pub value: String,
    /// Whether the object was deleted by this version.
    #[serde(default)]
    pub deleted: bool,
}
