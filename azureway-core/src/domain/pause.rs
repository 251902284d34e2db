//! The time for which a backend server asks an entry for no requests.

use std::time::Duration;

/// A pause that a backend server asks for, longer than zero and at most [`Pause::MAX`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Pause(Duration);

impl Pause {
    /// The longest pause that is kept. A server that wants no requests for longer leaves its fleet;
    /// a wrong number must not take it out of service for longer than a minute.
    pub const MAX: Duration = Duration::from_secs(60);

    /// Creates a pause of some seconds, or of [`Pause::MAX`] if that is less. Returns `None` if the
    /// number is not finite or not above zero.
    pub fn from_seconds(seconds: f64) -> Option<Self> {
        let valid = seconds.is_finite() && seconds > 0.0;
        valid.then(|| {
            Self(Duration::from_secs_f64(
                seconds.min(Self::MAX.as_secs_f64()),
            ))
        })
    }

    /// Returns the duration.
    pub const fn duration(self) -> Duration {
        self.0
    }
}
