//! The output of `explain` for one entry instance.

use std::fmt;
use std::net::SocketAddr;

use azureway_wire::admin::ExplainBody;
use serde::Serialize;

/// The route that one entry instance would choose, and the estimate for each backend server.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ExplainReport {
    entry: SocketAddr,
    #[serde(flatten)]
    answer: ExplainBody,
}

/// The number of microseconds in a millisecond.
const MICROS_PER_MILLI: f64 = 1_000.0;

impl ExplainReport {
    pub(crate) const fn new(entry: SocketAddr, answer: ExplainBody) -> Self {
        Self { entry, answer }
    }
}

impl fmt::Display for ExplainReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let answer = &self.answer;
        writeln!(
            f,
            "from {}: {} request of {} to {}, {} prompt tokens",
            self.entry, answer.rank, answer.account, answer.service, answer.prompt
        )?;
        if !answer.options.iter().any(|o| o.chosen) {
            writeln!(f, "no backend server would take it now; it would wait")?;
        }
        for option in &answer.options {
            let state = option.obstacle.as_deref().unwrap_or("chosen");
            let replica = if option.home { ", kept here" } else { "" };
            let millis = |micros: u64| micros as f64 / MICROS_PER_MILLI;
            writeln!(
                f,
                "  {state:8} {}  zone {}  first token in {:.1} ms = wait {:.1} + compute {:.1} + \
                 link {:.1}; {} tokens cached{replica}",
                option.server,
                option.zone,
                millis(option.total),
                millis(option.wait),
                millis(option.prefill),
                millis(option.link),
                option.cached
            )?;
        }
        Ok(())
    }
}
