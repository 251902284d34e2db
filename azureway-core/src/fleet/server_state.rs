//! What is known of one backend server.

use std::time::Duration;

use super::{Health, LoadReport};
use crate::domain::{BackendServer, Incarnation, Timestamp, TokenCount, WeightsVersion};
use crate::event::FailureKind;

/// How long a failed server is left alone.
const SUSPECT_TIME: Duration = Duration::from_secs(2);

/// What is known of one backend server: its configuration, its last report and the work
/// that this entry has in flight there.
#[derive(Clone, Debug)]
pub struct ServerState {
    /// The configuration.
    pub server: BackendServer,
    /// The incarnation that was last heard of.
    pub incarnation: Incarnation,
    /// The weights version that it has loaded, once it is known.
    pub weights: Option<WeightsVersion>,
    flights: u32,
    pending: TokenCount,
    running: u32,
    queued: u32,
    reported: TokenCount,
    health: Health,
    trial: Timestamp,
}

impl ServerState {
    /// Creates the state of a server of which nothing was heard.
    pub fn new(server: BackendServer) -> Self {
        Self {
            server,
            incarnation: Incarnation::ZERO,
            weights: None,
            flights: 0,
            pending: TokenCount::ZERO,
            running: 0,
            queued: 0,
            reported: TokenCount::ZERO,
            health: Health::Live,
            trial: Timestamp::ZERO,
        }
    }

    /// Takes in a report. Returns whether the server has restarted under this entry's work.
    pub fn report(&mut self, report: &LoadReport) -> bool {
        if report.incarnation < self.incarnation {
            return false;
        }
        let restarted = report.incarnation > self.incarnation;
        self.incarnation = report.incarnation;
        self.weights = Some(report.weights);
        self.running = report.running;
        self.queued = report.queued;
        self.reported = report.pending;
        self.health = if report.leaving {
            Health::Leaving
        } else {
            self.health
        };
        restarted && self.flights > 0
    }

    /// Notes that a request with `owed` uncached prompt tokens is in flight here.
    pub fn begin(&mut self, owed: TokenCount) {
        self.flights += 1;
        self.pending += owed;
    }

    /// Notes that `owed` prompt tokens were computed or will not be.
    pub fn settle(&mut self, owed: TokenCount) {
        self.pending = self.pending.saturating_sub(owed);
    }

    /// Notes that a request that still owed some prompt tokens is no longer in flight here.
    pub fn release(&mut self, owed: TokenCount) {
        self.flights = self.flights.saturating_sub(1);
        self.settle(owed);
    }

    /// Notes a failure at `now`.
    pub fn blame(&mut self, kind: FailureKind, now: Timestamp) {
        match kind {
            FailureKind::Mismatch => self.incarnation = Incarnation::ZERO,
            // A silent connection says nothing of the server: something between the two ends
            // may have lost track of it while new connections work.
            FailureKind::Busy | FailureKind::Silent => {}
            FailureKind::Unreachable | FailureKind::Broken | FailureKind::Faulty => {
                self.suspect(now);
            }
        }
    }

    /// Notes an answer, which ends a suspicion.
    pub fn clear(&mut self) {
        if self.health == Health::Suspect {
            self.health = Health::Live;
        }
    }

    /// Tells whether the server may be given new work at `now`.
    pub fn accepts(&self, now: Timestamp) -> bool {
        if self.server.leaving {
            return false;
        }
        match self.health {
            Health::Live => true,
            Health::Suspect => now > self.trial,
            Health::Leaving => false,
        }
    }

    /// Returns when a suspected server is tried again.
    pub fn trial(&self) -> Option<Timestamp> {
        (self.health == Health::Suspect).then_some(self.trial)
    }

    /// Returns the requests of this entry in flight here.
    pub const fn flights(&self) -> u32 {
        self.flights
    }

    /// Returns the prompt tokens ahead of a new request, as far as they are known.
    pub fn ahead(&self) -> TokenCount {
        // The report lags and may or may not hold this entry's own work: the larger of
        // the two is a lower bound of the truth, and their sum would count work twice.
        self.reported.max(self.pending)
    }

    /// Returns the requests that the server runs or holds, as far as they are known.
    pub fn load(&self) -> u32 {
        (self.running + self.queued).max(self.flights)
    }

    fn suspect(&mut self, now: Timestamp) {
        if self.health != Health::Leaving {
            self.health = Health::Suspect;
            self.trial = now + SUSPECT_TIME;
        }
    }
}
