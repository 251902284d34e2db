//! Metrics that show which configuration version is in force and whether one was rejected.

use azureway_core::prelude::ConfigVersion;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Metrics of the configuration version in force and of a newer invalid one.
#[derive(Debug)]
pub struct ConfigMetrics {
    accepted: Gauge,
    rejected: Gauge,
}

impl ConfigMetrics {
    /// Creates the metrics and registers them in `r`.
    pub fn new(r: &mut Registry) -> Self {
        let (accepted, rejected) = (Gauge::default(), Gauge::default());
        let help = "Version of the configuration in force";
        r.register("config_version", help, accepted.clone());
        let help = "Newest version of the configuration, while it is a bad one; 0 otherwise";
        r.register("config_rejected_version", help, rejected.clone());
        Self { accepted, rejected }
    }

    /// Sets the version in force and clears the rejected one.
    pub fn set_accepted(&self, version: ConfigVersion) {
        self.accepted.set(gauge_value(version));
        self.rejected.set(0);
    }

    /// Sets the version that was rejected as invalid.
    pub fn set_rejected(&self, version: ConfigVersion) {
        self.rejected.set(gauge_value(version));
    }
}

fn gauge_value(version: ConfigVersion) -> i64 {
    i64::try_from(version.get()).unwrap_or(i64::MAX)
}
