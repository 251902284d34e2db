//! How a request ended.

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Outcome {
    /// It was answered, and the first token came by the deadline.
    OnTime,
    /// It was answered, and the first token came after the deadline.
    Late,
    /// It was refused and not run.
    Refused,
    /// It may have run, but there is no whole answer.
    Broken,
    /// Its caller hung up.
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

    /// Returns the name of the outcome.
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
