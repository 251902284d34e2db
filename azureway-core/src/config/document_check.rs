//! The check of a whole document.

/// The check of a whole document before it is written.
pub trait DocumentCheck {
    /// Everything that is wrong with a document.
    type Faults;

    /// Checks a document.
    ///
    /// # Errors
    ///
    /// Returns everything that is wrong with it.
    fn check(&self, text: &str) -> Result<(), Self::Faults>;
}
