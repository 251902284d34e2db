//! What the deciding duty is asked.

use azureway_core::prelude::{ConfigVersion, Request};
use flume::Sender;

use super::DaemonStatus;
use crate::admit::ExplainReply;

/// What the deciding duty is asked. No decision follows from it.
#[derive(Debug)]
pub enum Query {
    /// To be told once a version of the configuration, or a later one, is in force.
    AwaitVersion(ConfigVersion, Sender<()>),
    /// For its state.
    Status(Sender<DaemonStatus>),
    /// Where a request would go, and why.
    Explain(Box<Request>, Sender<ExplainReply>),
}
