//! The outer JSON object of every error that callers get.

use azureway_core::prelude::Refusal;
use serde::{Deserialize, Serialize};

use super::ErrorDetail;

/// The body of an error response.
#[derive(Clone, Debug, Deserialize, PartialEq, Eq, Serialize)]
pub struct ErrorBody {
    /// The description of the error.
    pub error: ErrorDetail,
}

impl From<&Refusal> for ErrorBody {
    fn from(refusal: &Refusal) -> Self {
        Self {
            error: ErrorDetail::from(refusal),
        }
    }
}
