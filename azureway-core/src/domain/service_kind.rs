//! The distinction between language models and plain services.

/// Whether a language model or a plain service answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ServiceKind {
    /// A language model that streams its answers.
    Model,
    /// A plain service that answers in one piece.
    Plain,
}

impl ServiceKind {
    /// Returns the kind with the name `text`.
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "model" => Some(Self::Model),
            "plain" => Some(Self::Plain),
            _ => None,
        }
    }
}
