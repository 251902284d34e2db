//! A parsed or generated trace.

use std::fmt;

use azureway_core::prelude::Timestamp;

use super::{Header, PromptLevels, Record};

/// A complete trace: its header, its prompt levels and its records in the order of time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Trace {
    /// The seed and the description of the system.
    pub header: Header,
    /// The shared levels of the prompts.
    pub levels: PromptLevels,
    /// The records with their times in milliseconds.
    pub records: Vec<(u64, Record)>,
}

impl Trace {
    /// Creates a trace without records.
    pub fn new(header: Header) -> Self {
        Self {
            header,
            ..Self::default()
        }
    }

    /// Returns the time of the last record, or zero if there is none.
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
