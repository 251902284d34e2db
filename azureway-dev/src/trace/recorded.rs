//! A whole trace.

use std::fmt;

use azureway_core::prelude::Timestamp;

use super::{Header, PromptLevels, Record};

/// A whole trace: its header, its levels and its records in the order of their time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// The header.
    pub header: Header,
    /// The shared levels of the prompts.
    pub levels: PromptLevels,
    /// The records with their time in milliseconds.
    pub records: Vec<(u64, Record)>,
}

impl Trace {
    /// Creates an empty trace.
    pub fn new(header: Header) -> Self {
        Self {
            header,
            ..Self::default()
        }
    }

    /// Returns the time of the last record.
    pub fn end(&self) -> Timestamp {
        let last = self.records.last();
        Timestamp::from_millis(last.map_or(0, |(at, _)| *at))
    }
}

impl fmt::Display for Trace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}{}", self.header, self.levels)?;
        let mut records = self.records.iter();
        records.try_for_each(|(at, record)| writeln!(f, "{at} {record}"))
    }
}
