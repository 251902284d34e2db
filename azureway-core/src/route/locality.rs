//! Ranks backend servers by network distance, so that nearer ones are considered first.

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
}
