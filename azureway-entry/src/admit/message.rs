//! What the admitting duty is told.

use std::sync::Arc;

use azureway_core::prelude::Fleet;

use super::{Call, ExplainCall};

/// What the admitting duty is told.
#[derive(Debug)]
pub enum AdmitMessage {
    /// A call came.
    Call(Box<Call>),
    /// A version of the configuration was read.
    Configured(Arc<Fleet>),
    /// An operator asks where a request would go.
    Explain(Box<ExplainCall>),
}
