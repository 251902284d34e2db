//! Additional requests over a part of a trace, for the cases with load peaks.

use std::ops::Range;

use crate::trace::WorkKind;

/// A burst of requests in addition to the base load of a trace.
#[derive(Clone, Debug)]
pub struct Burst {
    /// The start and the end of the burst, in seconds from the start of the trace.
    pub span: Range<f64>,
    /// The mean rate, in requests per second.
    pub rate: f64,
    /// The kind of all its requests, or `None` for the usual mix.
    pub kind: Option<WorkKind>,
    /// The index of the account of all its requests, or `None` for the usual mix.
    pub account: Option<usize>,
    /// The name of a prompt level that replaces the shop's context in all its requests.
    pub hot_level: Option<&'static str>,
}

impl Burst {
    /// Creates a burst with the usual mix of accounts and kinds.
    pub const fn new(span: Range<f64>, rate: f64) -> Self {
        Self {
            span,
            rate,
            kind: None,
            account: None,
            hot_level: None,
        }
    }

    /// Sets the kind of the requests.
    #[must_use]
    pub const fn with_kind(mut self, kind: WorkKind) -> Self {
        self.kind = Some(kind);
        self
    }

    /// Sets the index of the account.
    #[must_use]
    pub const fn with_account(mut self, account: usize) -> Self {
        self.account = Some(account);
        self
    }

    /// Sets the prompt level that replaces the shop's context.
    #[must_use]
    pub const fn with_hot_level(mut self, hot_level: &'static str) -> Self {
        self.hot_level = Some(hot_level);
        self
    }
}
