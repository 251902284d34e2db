//! The input of the admitting duty: calls, configurations and operators' queries.

use std::sync::Arc;

use azureway_core::prelude::Fleet;

use super::{Call, ExplainCall};

/// A message to the admitting duty.
#[derive(Debug)]
pub enum AdmitMessage {
    /// A call arrived.
    Call(Box<Call>),
    /// A version of the configuration was read.
    Configured(Arc<Fleet>),
    /// An operator asks which servers a request could be sent to.
    Explain(Box<ExplainCall>),
}
