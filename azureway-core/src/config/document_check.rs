//! The interface through which an edit validates a document before it writes it.

/// Validates a whole document before it is written.
pub trait DocumentCheck {
    /// All faults of a document.
    type Faults;

    /// Checks that the document `text` is valid.
    ///
    /// # Errors
    ///
    /// Returns all faults of the document.
    fn check(&self, text: &str) -> Result<(), Self::Faults>;
}
