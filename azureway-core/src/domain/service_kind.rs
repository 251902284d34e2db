//! What stands behind a service.

/// What stands behind a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServiceKind {
    /// A language model that streams its answers.
    Model,
    /// A plain service that answers in one piece.
    Plain,
}

impl ServiceKind {
    /// Returns the kind that `text` names.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "model" => Some(Self::Model),
            "plain" => Some(Self::Plain),
            _ => None,
        }
    }
}
