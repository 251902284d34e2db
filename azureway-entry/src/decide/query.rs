//! Read-only queries to the deciding duty, with the rings for their replies.

use azureway_core::prelude::{ConfigVersion, Request};
use flume::Sender;

use super::DaemonStatus;
use crate::admit::ExplainReply;

/// A query to the deciding duty. It changes no decision.
#[derive(Debug)]
pub enum Query {
    /// Reply once this configuration version, or a later one, is in effect.
    AwaitVersion(ConfigVersion, Sender<()>),
    /// Reply with the state of the duty.
    Status(Sender<DaemonStatus>),
    /// Reply with the servers that a request could be sent to, and their cost.
    Explain(Box<Request>, Sender<ExplainReply>),
}
