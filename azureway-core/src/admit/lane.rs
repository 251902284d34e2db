//! The requests that the same backend servers can take.

use crate::domain::{Request, ServiceId, WeightsVersion};

/// A service and a weights version. Requests of one lane wait for the same backend servers,
/// so that a lane without a server holds up no other lane of its pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Lane {
    /// The service.
    pub service: ServiceId,
    /// The weights version.
    pub weights: WeightsVersion,
}

impl Lane {
    /// Returns the lane of a request.
    pub fn of(request: &Request) -> Self {
        Self {
            service: request.service.clone(),
            weights: request.weights,
        }
    }
}
