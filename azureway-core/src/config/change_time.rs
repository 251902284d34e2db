//! The wall-clock time in an audit record, and its display in UTC.

use std::fmt;

/// The time of a change by its writer's clock, in seconds since 1970-01-01 UTC.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ChangeTime(u64);

/// The seconds in a day.
const DAY: u64 = 86_400;
/// The days from 0000-03-01 to 1970-01-01 in the proleptic Gregorian calendar.
const EPOCH_DAYS: u64 = 719_468;
/// The days in 400 years of the Gregorian calendar.
const ERA_DAYS: u64 = 146_097;

impl ChangeTime {
    /// Creates a time from seconds since 1970-01-01 UTC.
    pub const fn new(seconds: u64) -> Self {
        Self(seconds)
    }

    /// Returns the seconds since 1970-01-01 UTC.
    pub const fn get(self) -> u64 {
        self.0
    }

    /// Returns the time one day earlier, or the epoch if that is before it.
    pub const fn day_before(self) -> Self {
        Self(self.0.saturating_sub(DAY))
    }

    /// Returns the date in UTC, such as `2026-12-04`.
    pub fn date(self) -> String {
        let days = self.0 / DAY + EPOCH_DAYS;
        let (era, rest) = (days / ERA_DAYS, days % ERA_DAYS);
        let year = (rest - rest / 1_460 + rest / 36_524 - rest / (ERA_DAYS - 1)) / 365;
        let of_year = rest - (365 * year + year / 4 - year / 100);
        // Months are counted from March, so that a leap day is the last day of the year.
        let month = (5 * of_year + 2) / 153;
        let day = of_year - (153 * month + 2) / 5 + 1;
        let (year, month) = match month {
            0..=9 => (era * 400 + year, month + 3),
            _ => (era * 400 + year + 1, month - 9),
        };
        format!("{year:04}-{month:02}-{day:02}")
    }
}

impl fmt::Display for ChangeTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (hour, minute) = (self.0 % DAY / 3_600, self.0 % 3_600 / 60);
        let second = self.0 % 60;
        write!(f, "{}T{hour:02}:{minute:02}:{second:02}Z", self.date())
    }
}
