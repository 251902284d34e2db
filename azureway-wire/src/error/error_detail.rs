//! What an error tells.

use azureway_core::prelude::Refusal;
use serde::{Deserialize, Serialize};

/// What an error tells.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ErrorDetail {
    /// The stable code.
    pub code: String,
    /// What the caller can do about it.
    pub message: String,
    /// Whether it is certain that no backend server has run the request.
    pub not_run: bool,
}

impl From<&Refusal> for ErrorDetail {
    fn from(refusal: &Refusal) -> Self {
        Self {
            code: refusal.reason.code().to_owned(),
            message: refusal.detail.to_string(),
            not_run: refusal.not_run,
        }
    }
}
