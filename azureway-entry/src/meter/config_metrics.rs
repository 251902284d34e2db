//! Which configuration is in force.

use azureway_core::prelude::ConfigVersion;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Which configuration is in force, and whether a newer one is bad.
#[derive(Debug)]
pub struct ConfigMetrics {
    accepted: Gauge,
    rejected: Gauge,
}

impl ConfigMetrics {
    /// Creates the measures and registers them.
    pub fn new(r: &mut Registry) -> Self {
        let (accepted, rejected) = (Gauge::default(), Gauge::default());
        let help = "Version of the configuration in force";
        r.register("config_version", help, accepted.clone());
        let help = "Newest version of the configuration, while it is a bad one; 0 otherwise";
        r.register("config_rejected_version", help, rejected.clone());
        Self { accepted, rejected }
    }

    /// Notes that a version is in force.
    pub fn accept(&self, version: ConfigVersion) {
        self.accepted.set(number(version));
        self.rejected.set(0);
    }

    /// Notes that a version is bad.
    pub fn reject(&self, version: ConfigVersion) {
        self.rejected.set(number(version));
    }
}

fn number(version: ConfigVersion) -> i64 {
    i64::try_from(version.get()).unwrap_or(i64::MAX)
}
