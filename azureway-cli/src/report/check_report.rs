//! The output of `config check` for a file, valid or not.

use std::fmt;

use azureway_config::ini::Faults;
use serde::Serialize;

use super::FaultBody;
use super::fault_body::format_count;

/// The faults of a document.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CheckReport {
    good: bool,
    faults: Vec<FaultBody>,
    #[serde(skip)]
    text: String,
}

impl CheckReport {
    pub(crate) fn valid() -> Self {
        let (faults, text) = (Vec::new(), "the document is good\n".to_owned());
        Self {
            good: true,
            faults,
            text,
        }
    }

    pub(crate) fn invalid(faults: &Faults) -> Self {
        let bodies: Vec<FaultBody> = faults.as_slice().iter().map(Into::into).collect();
        let text = format!("{faults}\n{}\n", format_count(bodies.len()));
        Self {
            good: false,
            faults: bodies,
            text,
        }
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}
