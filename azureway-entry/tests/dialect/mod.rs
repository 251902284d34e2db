//! A backend dialect for tests of the exchange, with headers of its own.
#![expect(unreachable_pub, reason = "a test's module has no outside")]

use std::fmt::Write as _;
use std::time::Duration;

use azureway_core::prelude::{Dispatch, Pause};
use azureway_entry::admit::UpstreamRequest;
use azureway_entry::exchange::{AnswerHead, AnswerMetadata, BackendDialect};

/// A backend dialect with test headers (`x-server`, `x-left`, `x-pause`).
#[derive(Clone, Copy)]
pub struct TestDialect;

impl BackendDialect for TestDialect {
    fn write_headers(
        &self,
        dispatch: &Dispatch,
        _: &UpstreamRequest,
        remaining: Duration,
        out: &mut String,
    ) {
        let _ = write!(
            out,
            "x-server: {}\r\nx-left: {}\r\n",
            dispatch.server,
            remaining.as_millis()
        );
    }

    fn read<'a>(&self, head: &'a AnswerHead) -> AnswerMetadata<'a> {
        AnswerMetadata {
            attempt_id: head.get("x-attempt"),
            signed: head.get("x-sign").is_some(),
            rejected: head.get("x-not-run").is_some(),
            mismatch: head.status == 421,
            load: None,
            pace: None,
            weights: None,
            rate_limit: None,
            pause: pause(head),
            leaving: head.get("x-leaving") == Some("1"),
        }
    }
}

fn pause(head: &AnswerHead) -> Option<Pause> {
    let seconds = head.get("x-pause")?.parse().ok()?;
    Pause::from_seconds(seconds).filter(|_| head.status == 503)
}
