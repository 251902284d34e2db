//! The fencing number that orders the successive holders of a lease.

use super::StoreEra;

number_type! {
    /// A fencing number. A backend server that checks fencing numbers rejects an order whose number
    /// is lower than one that it received before.
    FencingNumber
}

/// The number of bits below the era. They suffice for a century of changes of holders, one a second,
/// and leave room for two million eras below the largest exact integer in JSON.
const ERA_SHIFT: u32 = 32;

impl FencingNumber {
    /// Returns the first number of an era, which is higher than all numbers of earlier eras.
    pub const fn first(era: StoreEra) -> Self {
        Self::new((era.get() << ERA_SHIFT).saturating_add(1))
    }
}
