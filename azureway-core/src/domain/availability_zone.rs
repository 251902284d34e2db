//! The zones and regions by which routing tells local traffic from remote traffic.

use super::ZoneId;

/// An availability zone and the region that contains it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AvailabilityZone {
    /// The name of the zone.
    pub id: ZoneId,
    /// The region of the zone; traffic to another region is paid for by volume.
    pub region: Box<str>,
}

impl AvailabilityZone {
    /// Creates a zone in `region`.
    pub fn new(id: ZoneId, region: &str) -> Self {
        Self {
            id,
            region: region.into(),
        }
    }
}
