//! The class of requests that the same backend servers can take.

use crate::domain::{Request, ServiceId, WeightsVersion};

/// A service and a weights version.
///
/// Requests of one class wait for the same backend servers. A class for which no server has
/// capacity does not block the other classes of its pool.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServiceClass {
    /// The service that the requests ask for.
    pub service: ServiceId,
    /// The weights version that the requests ask for.
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
