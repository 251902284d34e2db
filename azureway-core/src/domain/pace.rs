//! How long work takes on the machine of a backend server, compared with usual.

/// The time that work takes on a server's machine at a moment, as a multiple of the usual time. Servers
/// share their machines, so it changes many times a second.
/// It is kept in millionths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pace(u32);

/// The unit of a [`Pace`], as a multiple of the usual time.
const UNIT: f64 = 1e-6;

impl Pace {
    /// The pace of a machine on which work takes as long as usual.
    pub const USUAL: Self = Self(1_000_000);
    /// The slowest pace that is kept. A slower machine is avoided in any case, and a wrong figure must
    /// not outweigh what a server has shown for longer.
    pub const MAX: Self = Self(10_000_000);
    /// The fastest pace that is kept, for the same reason.
    pub const MIN: Self = Self(100_000);

    /// Creates a pace from a percentage of the usual time, at least [`Pace::MIN`] and at most
    /// [`Pace::MAX`]. Returns `None` if the number is not finite or not above zero.
    pub fn from_percent(percent: f64) -> Option<Self> {
        let valid = percent.is_finite() && percent > 0.0;
        valid.then(|| Self::from_factor(percent / 100.0).clamp(Self::MIN, Self::MAX))
    }

    /// Returns the multiple of the usual time.
    pub fn factor(self) -> f64 {
        f64::from(self.0) * UNIT
    }

    /// Returns the pace that is `weight`, from 0 to 1, of the way from this one to `other`.
    #[must_use]
    pub fn toward(self, other: Self, weight: f64) -> Self {
        Self::from_factor(weight.mul_add(other.factor() - self.factor(), self.factor()))
    }

    /// Returns the pace of a factor, or the nearest one that the type can hold.
    fn from_factor(factor: f64) -> Self {
        Self((factor / UNIT).round() as u32)
    }
}
