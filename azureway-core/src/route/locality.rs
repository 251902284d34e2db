//! How far away a backend server stands.

/// How far away a backend server stands, the nearest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Locality {
    /// In the entry's own availability zone.
    Zone,
    /// In another availability zone of the same region.
    Region,
    /// In another region, to which traffic is paid by volume.
    Remote,
}

impl Locality {
    /// Every locality, the nearest first.
    pub const ALL: [Self; 3] = [Self::Zone, Self::Region, Self::Remote];
}
