//! A change of the quarantined parts that the platform stores.

use super::QuarantineRecord;
use crate::domain::PartKey;

/// A change of the quarantined parts that the platform stores: one that an entry asks for, or one
/// that the platform tells of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// A part is quarantined.
    Stored(QuarantineRecord),
    /// A part is no longer quarantined.
    Removed(PartKey),
}

impl QuarantineChange {
    /// Returns the part.
    pub const fn part(&self) -> &PartKey {
        match self {
            Self::Stored(record) => &record.part,
            Self::Removed(part) => part,
        }
    }

    /// Returns the number of crashes that the part was at, or zero if it is no longer quarantined.
    pub const fn crashes(&self) -> usize {
        match self {
            Self::Stored(record) => record.reports.len(),
            Self::Removed(_) => 0,
        }
    }
}
