//! The requests that the same backend servers can take.

use crate::domain::{Request, ServiceId, WeightsVersion};

/// A service and a weights version. Requests of one class wait for the same backend servers,
/// so that a class without a server holds up no other class of its pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceClass {
    /// The service.
    pub service: ServiceId,
    /// The weights version.
    pub weights: WeightsVersion,
}

impl ServiceClass {
    /// Returns the class of a request.
    pub fn of(request: &Request) -> Self {
        Self {
            service: request.service.clone(),
            weights: request.weights,
        }
    }
}
