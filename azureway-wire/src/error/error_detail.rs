//! The content of an error response: code, explanation and whether the request ran.

use azureway_core::prelude::Refusal;
use serde::{Deserialize, Serialize};

/// The description of an error in a response.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ErrorDetail {
    /// The stable error code.
    pub code: String,
    /// The explanation for the caller, with what can be done about the error.
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
