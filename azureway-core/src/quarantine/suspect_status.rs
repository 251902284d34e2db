//! Whether a request may run, by the backend servers that failed while they ran it.

/// The quarantine status of a request, which follows from its crash reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuspectStatus {
    /// No crash report counts against the request.
    Clear,
    /// The request was running when one backend server failed. It is isolated from other suspects.
    Suspect,
    /// The request was running when two backend servers failed. It does not run.
    Quarantined,
}
