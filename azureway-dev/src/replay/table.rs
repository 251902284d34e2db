//! Prints the measures of the policies side by side.

use std::fmt;

use super::Summary;

/// A table of measures, with a column for each policy.
#[derive(Clone, Copy, Debug)]
pub struct Table<'a> {
    summaries: &'a [Summary],
}

impl<'a> Table<'a> {
    /// Creates the table of `summaries`.
    pub const fn new(summaries: &'a [Summary]) -> Self {
        Self { summaries }
    }

    fn row(
        &self,
        f: &mut fmt::Formatter<'_>,
        name: &str,
        cell: impl Fn(&Summary) -> String,
    ) -> fmt::Result {
        write!(f, "{name:<30}")?;
        for summary in self.summaries {
            write!(f, "{:>14}", cell(summary))?;
        }
        writeln!(f)
    }

    fn times(
        &self,
        f: &mut fmt::Formatter<'_>,
        name: &str,
        times: impl Fn(&Summary) -> [Option<u64>; 3],
    ) -> fmt::Result {
        for (index, percentile) in ["p50", "p95", "p99"].into_iter().enumerate() {
            let label = format!("first token {name} {percentile} ms");
            self.row(f, &label, |s| millis(times(s)[index]))?;
        }
        Ok(())
    }

    fn kinds(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(first) = self.summaries.first() else {
            return Ok(());
        };
        for kind in first.kind_timely.keys() {
            let cell = |s: &Summary| percent(s.kind_timely.get(kind).copied().unwrap_or(0.0));
            self.row(f, &format!("on time {kind} %"), cell)?;
        }
        Ok(())
    }
}

impl fmt::Display for Table<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.row(f, "", |s| s.policy.to_owned())?;
        self.row(f, "requests", |s| s.requests.to_string())?;
        self.row(f, "prefix hit %", |s| percent(s.hit_rate))?;
        self.row(f, "wasted tokens", |s| s.recomputed.to_string())?;
        self.times(f, "urgent", |s| s.urgent_ttft)?;
        self.times(f, "drafting", |s| s.drafting_ttft)?;
        self.row(f, "between tokens p95 ms", |s| s.token_gap.to_string())?;
        self.kinds(f)?;
        self.row(f, "on time urgent %", |s| percent(s.urgent_timely))?;
        self.row(f, "on time drafting %", |s| percent(s.drafting_timely))?;
        self.row(f, "worth on time %", |s| percent(s.worth_timely))?;
        self.row(f, "drafting of served tokens %", |s| {
            percent(s.drafting_share)
        })?;
        self.row(f, "on time largest account %", |s| {
            percent(s.largest_timely)
        })?;
        self.row(f, "on time worst small account %", |s| {
            percent(s.smallest_timely)
        })?;
        self.row(f, "across regions kB", |s| s.region_traffic.to_string())?;
        self.row(f, "retries", |s| s.retries.to_string())?;
        self.row(f, "refusals", |s| s.refusals.to_string())?;
        self.row(f, "engines crashed by a request", |s| {
            s.poison_crashes.to_string()
        })?;
        self.row(f, "promises broken", |s| s.violations.total().to_string())?;
        self.row(f, "loss Smučarski Vosek", |s| percent(s.vosek_loss))?;
        self.row(f, "loss Corchos", |s| percent(s.corchos_loss))
    }
}

fn percent(share: f64) -> String {
    format!("{share:.1}")
}

fn millis(time: Option<u64>) -> String {
    time.map_or_else(|| "never".to_owned(), |t| t.to_string())
}
