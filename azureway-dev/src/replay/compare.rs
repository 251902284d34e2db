//! Replays traces under the product's policy and each baseline policy.

use std::io::{IsTerminal, stderr};

use azureway_core::prelude::{
    LeastLoaded, Policy, PrefixHash, PrefixLoad, RoundRobin, StaticSplit,
};

use super::{ReplayDriver, Summary, Tally};
use crate::trace::Trace;

/// The number of records between two progress lines.
const PROGRESS_INTERVAL: usize = 500;

/// Replays traces under the product's policy and each baseline, and returns their summaries,
/// that of the product first. A summary covers all traces together.
pub fn compare(traces: &[Trace]) -> Vec<Summary> {
    vec![
        summary::<PrefixLoad>(traces),
        summary::<RoundRobin>(traces),
        summary::<LeastLoaded>(traces),
        summary::<PrefixHash>(traces),
        summary::<StaticSplit>(traces),
    ]
}

/// Replays a trace under a policy. Progress is written to standard error if it is a terminal.
pub fn replay_trace<P: Policy + Default>(trace: &Trace) -> Tally {
    let shown = stderr().is_terminal();
    let count = trace.records.len();
    let on_record = |number: usize| {
        if shown && number.is_multiple_of(PROGRESS_INTERVAL) {
            eprintln!("{}: record {number} of {count}", P::NAME);
        }
    };
    ReplayDriver::<P>::new(trace).run(on_record)
}

fn summary<P: Policy + Default>(traces: &[Trace]) -> Summary {
    let mut tally = Tally::new();
    for trace in traces {
        tally.merge(replay_trace::<P>(trace));
    }
    Summary::new(P::NAME, &tally)
}
