//! Whether a request may run, by the backend servers that failed while they ran it.

/// The quarantine status of a request, which follows from the crash reports about it and about the
/// parts of its prompt. A later status outweighs an earlier one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SuspectStatus {
    /// No crash report counts against the request.
    Clear,
    /// The request was running when one backend server failed, or the failures while a part of its
    /// prompt was running may have another cause. It is isolated from other suspects.
    Suspect,
    /// The request was running when two backend servers failed, or a part of its prompt was when
    /// three did. It does not run.
    Quarantined,
}
