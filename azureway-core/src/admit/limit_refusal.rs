//! Why a request exceeds the limit of its client account.

use std::fmt;
use std::time::Duration;

/// The refusal of a request beyond the limit of its client account, with what it was decided by.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRefusal {
    /// The time after which the account may send the request again.
    pub wait: Duration,
    /// The fraction of the limit that this entry enforces.
    pub fraction: f64,
    /// The units that the account may use here, negative if it has used more.
    pub part: f64,
    /// The units that the account may use over all entries, negative if it has used more.
    pub whole: f64,
    /// The mean age of the other entries' reports, if any is fresh.
    pub age: Option<Duration>,
}

impl fmt::Display for LimitRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            fraction,
            part,
            whole,
            age,
            ..
        } = self;
        write!(
            f,
            "the client account has used up its limit: fraction {fraction:.4}, here {part:.0}, in all \
             {whole:.0}, reports of age {age:?}"
        )
    }
}
