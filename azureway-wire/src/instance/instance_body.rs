//! The object by which an instance is listed in the platform.

use std::net::SocketAddr;

use azureway_core::prelude::{Instance, InstanceId, ZoneId};
use serde::{Deserialize, Serialize};

use super::InstanceRole;

/// An instance in the platform's list, which may be out of date.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct InstanceBody {
    /// The program that runs on the instance: an entry daemon or a backend server.
    pub role: InstanceRole,
    /// The availability zone of the instance.
    pub zone: String,
    /// The address at which peers or callers reach the instance.
    pub address: SocketAddr,
    /// Whether the instance is shutting down.
    #[serde(default)]
    pub leaving: bool,
}

impl InstanceBody {
    /// Returns the instance that is listed under `name`.
    pub fn instance(&self, name: &str) -> Instance {
        Instance::new(InstanceId::new(name), ZoneId::new(&self.zone), self.address)
    }
}
