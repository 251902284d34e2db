//! The output of `status` for one lease in the platform.

use std::fmt;

use azureway_wire::order::LeaseBody;
use serde::Serialize;

/// The current or last holder of a lease, and its fencing number.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct LeaseReport {
    lease: Box<str>,
    holder: String,
    number: u64,
}

impl LeaseReport {
    pub(crate) fn new(lease: &str, body: LeaseBody) -> Self {
        Self {
            lease: lease.into(),
            holder: body.holder,
            number: body.number,
        }
    }
}

impl fmt::Display for LeaseReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (lease, holder, number) = (&self.lease, &self.holder, self.number);
        writeln!(f, "lease {lease}  {holder}  fencing number {number}")
    }
}
