//! The part of the exchange in which sites differ: the headers to and from backend servers.

use std::time::Duration;

use azureway_core::prelude::Dispatch;

use super::{AnswerHead, AnswerMetadata};
use crate::admit::UpstreamRequest;

/// The site's own request headers to backend servers and response headers from them.
pub trait BackendDialect: Clone + Send + 'static {
    /// Appends the headers of an attempt to `out`, one a line. `left` is the time for which the
    /// caller still waits.
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
