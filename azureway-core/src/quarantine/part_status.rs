//! Decides from crash reports which parts of prompts may run in which requests.

use std::cmp::Reverse;

use smallvec::SmallVec;

use super::{CrashSite, CrashSubject, Quarantine, QuarantineRecord, SuspectStatus};
use crate::domain::{Fingerprint, PartKey, Timestamp};

/// The crashes that a subject was at.
type Sites<'a> = SmallVec<[&'a CrashSite; 8]>;

/// The number of crashes, each at another site, after which a subject may be their cause. One request
/// alone is quarantined by fewer, so it rarely brings its parts that far by itself.
const CAUSE_CRASHES: usize = 3;

impl Quarantine {
    /// Returns whether a part was at nearly as many crashes as it takes to be their cause.
    pub fn is_nearly_cause(&self, part: &PartKey, now: Timestamp) -> bool {
        self.part_sites(part, now).len() + 1 >= CAUSE_CRASHES
    }

    /// Returns whether a part was at as many crashes as it takes to be their cause.
    pub fn is_possible_cause(&self, part: &PartKey, now: Timestamp) -> bool {
        self.part_sites(part, now).len() >= CAUSE_CRASHES
    }

    /// Returns the status that a part gives to a request with `parts` and `fingerprint`.
    ///
    /// A part is quarantined by three crashes, unless other subjects may have caused them, which
    /// the request does not contain. It is a suspect then, whose requests run one at a time and
    /// apart from other suspects: an answer clears the part, and another crash is its own.
    pub fn part_status(
        &self,
        part: &PartKey,
        parts: &[PartKey],
        fingerprint: Option<&Fingerprint>,
        now: Timestamp,
    ) -> SuspectStatus {
        let mut own = self.part_sites(part, now);
        if own.len() < CAUSE_CRASHES {
            return SuspectStatus::Clear;
        }
        let outside = |subject: &CrashSubject| match subject {
            CrashSubject::Request(other) => fingerprint != Some(other),
            CrashSubject::Part(other) => other != part && !parts.contains(other),
        };
        let others = self.records.iter().filter(|(subject, _)| outside(subject));
        let others = others.map(|(_, record)| record);
        let causes = others.filter(|r| r.counted(now).count() >= CAUSE_CRASHES);
        let explained = explained_sites(causes.map(|r| r.counted(now).collect()).collect());
        own.retain(|site| !explained.contains(site));
        match own.len() >= CAUSE_CRASHES {
            true => SuspectStatus::Quarantined,
            false => SuspectStatus::Suspect,
        }
    }

    /// Returns the quarantine of a part, if it is quarantined wherever it is.
    pub fn quarantine_record(&self, part: PartKey, now: Timestamp) -> Option<QuarantineRecord> {
        let status = self.part_status(&part, &[part], None, now);
        let record = self.records.get(&CrashSubject::Part(part))?;
        let subject = CrashSubject::Part(part);
        let quarantined = status == SuspectStatus::Quarantined;
        quarantined.then(|| QuarantineRecord {
            part,
            reports: record.reports(subject, now).collect(),
        })
    }

    /// Returns the crashes that a part was at.
    fn part_sites(&self, part: &PartKey, now: Timestamp) -> Sites<'_> {
        let record = self.records.get(&CrashSubject::Part(*part));
        record.map_or_else(Sites::new, |r| r.counted(now).collect())
    }
}

/// Returns the crashes that possible causes explain. It takes the one that was at most of the crashes
/// that are left, for as long as these are enough for it to be their cause.
fn explained_sites<'a>(mut causes: Vec<Sites<'a>>) -> Sites<'a> {
    let mut explained = Sites::new();
    while !causes.is_empty() {
        causes.sort_by_key(|sites| Reverse(sites.len()));
        explained.extend(causes.remove(0));
        for sites in &mut causes {
            sites.retain(|site| !explained.contains(site));
        }
        causes.retain(|sites| sites.len() >= CAUSE_CRASHES);
    }
    explained
}
