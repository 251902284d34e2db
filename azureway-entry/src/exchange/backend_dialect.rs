//! The request and answer headers of a site's backend servers.

use std::time::Duration;

use azureway_core::prelude::Dispatch;

use super::{AnswerHead, AnswerMetadata};
use crate::admit::UpstreamRequest;

/// The site's own headers in requests to backend servers and in their answers.
pub trait BackendDialect: Clone + Send + 'static {
    /// Appends the headers of an attempt to `out`, one a line. The caller waits for `left`.
    fn write_headers(
        &self,
        dispatch: &Dispatch,
        upstream: &UpstreamRequest,
        left: Duration,
        out: &mut String,
    );

    /// Reads the metadata of an answer.
    fn read<'a>(&self, head: &'a AnswerHead) -> AnswerMetadata<'a>;
}
