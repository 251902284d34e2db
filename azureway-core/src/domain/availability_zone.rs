//! An availability zone.

use super::ZoneId;

/// An availability zone and the region that it lies in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AvailabilityZone {
    /// The name.
    pub id: ZoneId,
    /// The region; traffic to another one is paid by volume.
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
