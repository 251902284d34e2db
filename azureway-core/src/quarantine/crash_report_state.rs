//! The strength of a crash report's evidence, from weakest to final.

/// The state of the evidence behind a crash report.
///
/// Updates of the same crash report only ever raise its state, so that entries converge whatever
/// the order in which updates arrive.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum CrashReportState {
    /// The connection went silent or the answer was bad. The report does not count by itself.
    Tentative,
    /// The connection broke. The server may or may not have crashed.
    Unconfirmed,
    /// The server reported a greater incarnation: it crashed.
    Confirmed,
    /// The server did not crash, or the request succeeded on another server.
    Cleared,
}

impl CrashReportState {
    /// All states, in ascending order.
    pub const ALL: [Self; 4] = [
        Self::Tentative,
        Self::Unconfirmed,
        Self::Confirmed,
        Self::Cleared,
    ];

    /// Returns whether the server's next report can still confirm or clear the crash report.
    pub const fn is_unresolved(self) -> bool {
        matches!(self, Self::Tentative | Self::Unconfirmed)
    }
}
