//! Requests that come on top of the usual ones for a while.

use std::ops::Range;

use crate::trace::WorkKind;

/// Requests that come on top of the usual ones for a while.
#[derive(Clone, Debug)]
pub struct Burst {
    /// The seconds from which and up to which they come.
    pub span: Range<f64>,
    /// The requests a second.
    pub rate: f64,
    /// The kind, or `None` for the usual mix.
    pub kind: Option<WorkKind>,
    /// The place of the account, or `None` for any.
    pub account: Option<usize>,
    /// The name of a level that takes the place of the shop's context.
    pub hot_level: Option<&'static str>,
}

impl Burst {
    /// Creates a burst of the usual mix.
    pub const fn new(span: Range<f64>, rate: f64) -> Self {
        Self {
            span,
            rate,
            kind: None,
            account: None,
            hot_level: None,
        }
    }

    /// Sets the kind.
    #[must_use]
    pub const fn with_kind(mut self, kind: WorkKind) -> Self {
        self.kind = Some(kind);
        self
    }

    /// Sets the account.
    #[must_use]
    pub const fn with_account(mut self, account: usize) -> Self {
        self.account = Some(account);
        self
    }

    /// Sets the hot level.
    #[must_use]
    pub const fn with_hot_level(mut self, hot_level: &'static str) -> Self {
        self.hot_level = Some(hot_level);
        self
    }
}
