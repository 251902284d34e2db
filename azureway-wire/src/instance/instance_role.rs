//! What runs on an instance.

use serde::{Deserialize, Serialize};

/// What runs on an instance.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// An entry daemon.
    Entry,
    /// A backend server.
    Backend,
}
