//! Ranks backend servers by network distance, so that nearer ones are considered first.

use crate::domain::ZoneId;
use crate::fleet::Fleet;

/// The network distance between an entry instance and a backend server, ordered from the nearest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Locality {
    /// In the entry's own availability zone.
    Zone,
    /// In another availability zone of the same region.
    Region,
    /// In another region. Traffic to it is charged by volume.
    Remote,
}

impl Locality {
    /// All localities, the nearest first.
    pub const ALL: [Self; 3] = [Self::Zone, Self::Region, Self::Remote];

    /// Returns the distance between two availability zones.
    pub fn between(fleet: &Fleet, one: &ZoneId, other: &ZoneId) -> Self {
        if one == other {
            Self::Zone
        } else if fleet.share_region(one, other) {
            Self::Region
        } else {
            Self::Remote
        }
    }
}
