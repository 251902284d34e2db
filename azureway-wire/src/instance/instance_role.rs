//! The role that tells entry daemons from backend servers in the platform's list.

use serde::{Deserialize, Serialize};

/// The role of an instance: what runs on it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceRole {
    /// An entry daemon.
    Entry,
    /// A backend server.
    Backend,
}
