//! An instance as the platform lists it.

use std::net::SocketAddr;

use azureway_core::prelude::{Instance, InstanceId, ZoneId};
use serde::{Deserialize, Serialize};

use super::InstanceRole;

/// An instance as the platform lists it. The list lags.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct InstanceBody {
    /// What runs on it.
    pub role: InstanceRole,
    /// The availability zone.
    pub zone: String,
    /// The address that its peers or its callers reach.
    pub address: SocketAddr,
    /// Whether it is leaving.
    #[serde(default)]
    pub leaving: bool,
}

impl InstanceBody {
    /// Returns the instance under the name that it is listed by.
    pub fn instance(&self, name: &str) -> Instance {
        Instance::new(InstanceId::new(name), ZoneId::new(&self.zone), self.address)
    }
}
