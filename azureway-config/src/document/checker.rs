//! The check that commands apply to a changed document before they write it.

use azureway_core::config::DocumentCheck;
use azureway_core::prelude::ConfigVersion;

use super::parse;
use crate::ini::Faults;

/// The check of a changed document before it is written. Entry instances check a new version in
/// the same way.
#[derive(Clone, Copy, Debug, Default)]
pub struct Checker;

impl Checker {
    /// Creates a checker.
    pub const fn new() -> Self {
        Self
    }
}

impl DocumentCheck for Checker {
    type Faults = Faults;

    fn check(&self, text: &str) -> Result<(), Faults> {
        parse(text, ConfigVersion::ZERO).map(drop)
    }
}
