//! The ways in which a request can end, as the metrics count them.

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// The request was answered and its first token met the deadline.
    OnTime,
    /// The request was answered but its first token missed the deadline.
    Late,
    /// The request was refused and did not run.
    Refused,
    /// The request may have run but its answer is missing or incomplete.
    Broken,
    /// The caller disconnected before the request ended.
    Abandoned,
}

impl Outcome {
    /// Every outcome.
    pub const ALL: [Self; 5] = [
        Self::OnTime,
        Self::Late,
        Self::Refused,
        Self::Broken,
        Self::Abandoned,
    ];

    /// Returns the name of the outcome in metrics and reports.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::OnTime => "on-time",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Broken => "broken",
            Self::Abandoned => "abandoned",
        }
    }
}
