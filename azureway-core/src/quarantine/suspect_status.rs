//! How a request stands after what its earlier sendings did.

/// How a request stands after what its earlier sendings did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStatus {
    /// Nothing speaks against it.
    Clear,
    /// It was running when one backend server broke: it runs apart from other suspects.
    Suspect,
    /// It was running when two backend servers broke: it does not run.
    Quarantined,
}
