//! Collects the faults of a text, so that all of them are reported at once.

use std::fmt;

use super::Fault;

/// The faults of an INI text.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    faults: Vec<Fault>,
}

impl Faults {
    /// Creates an empty list.
    pub const fn new() -> Self {
        Self { faults: Vec::new() }
    }

    /// Adds a fault.
    pub fn push(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    /// Returns the faults in the order in which they were added.
    pub fn as_slice(&self) -> &[Fault] {
        &self.faults
    }

    /// Returns `value` if there is no fault.
    ///
    /// # Errors
    ///
    /// Returns the faults, sorted by line, if there are any.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.faults.is_empty() {
            return Ok(value);
        }
        self.faults.sort();
        Err(self)
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            fault.fmt(f)?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
