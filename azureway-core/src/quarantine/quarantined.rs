//! Decides from crash reports which requests and parts of prompts are suspects or quarantined.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::{
    CrashReport, CrashReportSet, CrashReportState, CrashSite, CrashSubject, SuspectStatus,
};
use crate::domain::{Fingerprint, Incarnation, ServerId, Timestamp};

/// The requests that were running when backend servers failed, and the parts of their prompts.
///
/// One crash report makes a request a suspect, and two for different sites quarantine it. A part is
/// quarantined by three, unless other subjects explain them. A crash report is confirmed when its
/// server reports a greater incarnation. It is cleared when the server reports the same
/// incarnation or when a request that it is about succeeds.
#[derive(Clone, Debug, Default)]
pub struct Quarantine {
    pub(super) records: BTreeMap<CrashSubject, CrashReportSet>,
    /// The servers whose next report can resolve a crash report.
    unresolved: BTreeSet<ServerId>,
    /// The sites whose failure is attributed to a quarantined request, with the time at which
    /// the attribution ends.
    attributed: BTreeMap<CrashSite, Timestamp>,
}

/// The largest delay with which a server's incarnation becomes known. An incarnation that is known
/// until later than this after a crash report was added is newer than the crash report.
const MAX_REPORT_LAG: Duration = Duration::from_secs(5);
/// The largest number of subjects with crash reports, which bounds memory.
const MAX_RECORDS: usize = 4_096;

impl Quarantine {
    /// Creates a quarantine without crash reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the status of a request at `now` by the crash reports about its fingerprint.
    pub fn status(&self, fingerprint: &Fingerprint, now: Timestamp) -> SuspectStatus {
        let Some(record) = self.records.get(&CrashSubject::Request(*fingerprint)) else {
            return SuspectStatus::Clear;
        };
        match record.status(now) {
            SuspectStatus::Suspect if self.is_attributed(record, now) => SuspectStatus::Clear,
            status => status,
        }
    }

    /// Returns the number of requests that have `status` at `now`.
    pub fn count(&self, status: SuspectStatus, now: Timestamp) -> usize {
        let requests = self.records.keys().filter_map(|subject| match subject {
            CrashSubject::Request(fingerprint) => Some(fingerprint),
            CrashSubject::Part(_) => None,
        });
        requests.filter(|f| self.status(f, now) == status).count()
    }

    /// Returns whether a subject may be quarantined in some requests.
    pub fn may_be_cause(&self, subject: CrashSubject, now: Timestamp) -> bool {
        match subject {
            CrashSubject::Request(f) => self.status(&f, now) == SuspectStatus::Quarantined,
            CrashSubject::Part(key) => self.is_possible_cause(&key, now),
        }
    }

    /// Merges a crash report of this or another entry. Returns whether it was new or raised the
    /// state of a known one.
    pub fn merge(&mut self, report: &CrashReport, now: Timestamp) -> bool {
        self.evict(now);
        if report.state.is_unresolved() {
            self.unresolved.insert(report.site.server.clone());
        }
        if report.state == CrashReportState::Cleared {
            self.attributed.remove(&report.site);
        }
        let record = self.records.entry(report.subject).or_default();
        let is_new = record.merge(report, now);
        if is_new && self.is_cause(report.subject, now) {
            self.attribute_sites(report.subject, now);
        }
        is_new
    }

    /// Records that a request with `subject` succeeded. Returns the crash reports that this clears.
    pub fn clear(&mut self, subject: CrashSubject, now: Timestamp) -> Vec<CrashReport> {
        let Some(record) = self.records.get(&subject) else {
            return Vec::new();
        };
        let sites = record.active().map(|(site, ..)| site.clone()).collect();
        self.resolve(subject, sites, CrashReportState::Cleared, now)
    }

    /// Records the incarnation that a server reported. Every later one that it reported before `until`
    /// would be known. Returns the crash reports that this confirms or clears.
    pub fn observe_incarnation(
        &mut self,
        server: &ServerId,
        incarnation: Incarnation,
        until: Timestamp,
        now: Timestamp,
    ) -> Vec<CrashReport> {
        let mut changed = Vec::new();
        if !self.unresolved.contains(server) {
            return changed;
        }
        let subjects: Vec<_> = self.records.keys().copied().collect();
        for subject in subjects {
            let record = &self.records[&subject];
            let resolved = record.active().filter(|(site, ..)| site.server == *server);
            let resolved = resolved.filter_map(|e| resolution(e, incarnation, until));
            let resolved: Vec<_> = resolved.collect();
            for (site, state) in resolved {
                changed.extend(self.resolve(subject, vec![site], state, now));
            }
        }
        if !self.has_unresolved(server) {
            self.unresolved.remove(server);
        }
        changed
    }

    /// Returns the number of subjects that have crash reports.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no subject has crash reports.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn has_unresolved(&self, server: &ServerId) -> bool {
        let matches = |r: &CrashReportSet| {
            r.active()
                .any(|(site, state, _)| state.is_unresolved() && site.server == *server)
        };
        self.records.values().any(matches)
    }

    /// Returns whether the failures at the sites of a subject are attributed to it: it is a
    /// quarantined request, or a part that is quarantined wherever it is.
    fn is_cause(&self, subject: CrashSubject, now: Timestamp) -> bool {
        let status = match subject {
            CrashSubject::Request(fingerprint) => self.status(&fingerprint, now),
            CrashSubject::Part(key) => self.part_status(&key, &[key], None, now),
        };
        status == SuspectStatus::Quarantined
    }

    /// Attributes the failures at the sites of a quarantined subject to that subject. Other
    /// requests that ran there keep their crash reports, since one of them may be the cause
    /// instead.
    fn attribute_sites(&mut self, cause: CrashSubject, now: Timestamp) {
        let until = now + CrashReport::TTL;
        let sites = self.records[&cause].active();
        let sites = sites.map(|(site, ..)| (site.clone(), until));
        self.attributed.extend(sites);
    }

    /// Returns whether every crash report of a suspect is attributed to a quarantined request.
    fn is_attributed(&self, record: &CrashReportSet, now: Timestamp) -> bool {
        let known = |site| self.attributed.get(site).is_some_and(|until| *until > now);
        record.active().all(|(site, ..)| known(site))
    }

    fn resolve(
        &mut self,
        subject: CrashSubject,
        sites: Vec<CrashSite>,
        state: CrashReportState,
        now: Timestamp,
    ) -> Vec<CrashReport> {
        let reports = sites
            .into_iter()
            .map(|site| CrashReport::new(subject, site, state, CrashReport::TTL));
        let reports: Vec<_> = reports.collect();
        reports.into_iter().filter(|r| self.merge(r, now)).collect()
    }

    /// Makes room for one subject at the bound: removes expired crash reports and, if that is not
    /// enough, one subject, preferably one that is not quarantined.
    fn evict(&mut self, now: Timestamp) {
        if self.records.len() < MAX_RECORDS {
            return;
        }
        self.records.retain(|_, r| r.prune(now));
        self.attributed.retain(|_, until| *until > now);
        if self.records.len() < MAX_RECORDS {
            return;
        }
        let evictable = |r: &CrashReportSet| r.status(now) != SuspectStatus::Quarantined;
        let evicted = self.records.iter().find(|(_, r)| evictable(r));
        let evicted = evicted.or(self.records.iter().next()).map(|(p, _)| *p);
        if let Some(evicted) = evicted {
            self.records.remove(&evicted);
        }
    }
}

/// Returns the site and the new state of an unresolved crash report if the incarnation that its
/// server reported resolves it.
fn resolution(
    (site, state, since): (&CrashSite, CrashReportState, Timestamp),
    incarnation: Incarnation,
    until: Timestamp,
) -> Option<(CrashSite, CrashReportState)> {
    if !state.is_unresolved() || site.incarnation == Incarnation::ZERO {
        return None;
    }
    if incarnation > site.incarnation {
        return Some((site.clone(), CrashReportState::Confirmed));
    }
    let alive = incarnation == site.incarnation && until.since(since) > MAX_REPORT_LAG;
    alive.then(|| (site.clone(), CrashReportState::Cleared))
}
