//! One object in the answers of the platform's object API.

use serde::{Deserialize, Serialize};

/// An object in the platform's store, with its version.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ObjectBody {
    /// The name of the object.
    pub name: String,
    /// The version of the object. Versions increase with every change to any object.
    pub version: u64,
    /// The value of the object.
    pub value: String,
    /// Whether the change to this version deleted the object.
    #[serde(default)]
    pub deleted: bool,
}
