//! How a site's backend servers are spoken to.

use std::time::Duration;

use azureway_core::prelude::Dispatch;

use super::{AnswerHead, AnswerMetadata};
use crate::admit::UpstreamRequest;

/// How a site's backend servers spell what a try tells them and what their answers say.
pub trait BackendDialect: Clone + Send + 'static {
    /// Appends the headers that a try sets, each as a line. The caller waits for `left`.
    fn write_headers(
        &self,
        order: &Dispatch,
        upstream: &UpstreamRequest,
        left: Duration,
        out: &mut String,
    );

    /// Reads what an answer says beside its body.
    fn read<'a>(&self, head: &'a AnswerHead) -> AnswerMetadata<'a>;
}
