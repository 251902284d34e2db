//! The rules of the users' platform, which are checked after every event of a run.

use std::time::Duration;

use azureway_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

use super::{ACCOUNTS, READ_GAP, World};
use crate::entry::{GRACE, RETRY_PERCENT, RETRY_SLACK};
use crate::server::cache_key;

/// The time within which a connected entry must learn that a server is leaving.
const DRAIN_NOTICE: Duration = Duration::from_millis(2_500);

impl World {
    /// Checks that a dispatch is permitted at this time.
    pub(super) fn check_dispatch(
        &self,
        at: usize,
        dispatch: &Dispatch,
    ) -> Result<(), TestCaseError> {
        let record = &self.records[&dispatch.attempt.id];
        prop_assert!(!record.ended, "a request is dispatched after its end");
        prop_assert_eq!(
            dispatch.position.get(),
            record.received,
            "a stream is resumed at another position than the caller received"
        );
        let running = self
            .running
            .iter()
            .any(|(_, d)| d.attempt.id == dispatch.attempt.id);
        prop_assert!(!running, "a request has two attempts at a time");
        // An entry cannot know what happens while its reads are held up, but it must know afterwards.
        let entry = &self.entries[at];
        let connected = |time| entry.held_up.is_none() && entry.connected_for(self.now, time);
        if let Some(since) = self.store.leaving.get(&dispatch.server) {
            let late = self.now.since(*since) >= DRAIN_NOTICE && connected(DRAIN_NOTICE);
            prop_assert!(!late, "a leaving server receives a new request");
        }
        let (newest, named) = self.store.named;
        if dispatch.weights < newest {
            let late = self.now.since(named) > GRACE + READ_GAP && connected(GRACE + READ_GAP);
            prop_assert!(!late, "older weights are used after the grace period");
        }
        Ok(())
    }

    /// Checks that the cached prompt that the server finds may serve the request: it has the weights
    /// of the attempt, and an isolated account shares it with no other account.
    pub(super) fn check_cached(&self, at: usize, dispatch: &Dispatch) -> Result<(), TestCaseError> {
        let record = &self.records[&dispatch.attempt.id];
        let server = self.servers.iter().find(|s| s.id == dispatch.server);
        let found = server.and_then(|s| s.cached.get(&(cache_key(dispatch), record.prompt)));
        if let Some((account, weights)) = found {
            prop_assert_eq!(
                *weights,
                dispatch.weights,
                "a cached prompt has other weights than the attempt"
            );
            // An entry has up to a read to hear of a change.
            let entry = &self.entries[at];
            let connected = entry.held_up.is_none() && entry.connected_for(self.now, READ_GAP);
            let current = connected && self.now.since(self.store.isolated) > READ_GAP;
            let accounts = &self.store.document.accounts;
            let is_isolated = |a: usize| ACCOUNTS[a] == "walled" || current && accounts[a].isolated;
            let isolated = [*account, record.account].map(is_isolated);
            let shared = isolated.contains(&true) && *account != record.account;
            prop_assert!(!shared, "an isolated account shares a cached prompt");
        }
        Ok(())
    }

    /// Checks the retry budget: the retries within the window that ends now are at most
    /// [`RETRY_PERCENT`] of the requests that arrived in it and in the window before, plus
    /// [`RETRY_SLACK`].
    pub(super) fn check_budget(&self) -> Result<(), TestCaseError> {
        let current = |t: &&Timestamp| self.now.since(**t) < RETRY_SLACK.window;
        let recent = |t: &&Timestamp| self.now.since(**t) < RETRY_SLACK.window * 2;
        let retries = self.retries.iter().filter(current).count();
        let arrivals = self.arrivals.iter().filter(recent).count();
        let allowed = arrivals * RETRY_PERCENT as usize / 100 + RETRY_SLACK.count as usize;
        prop_assert!(retries <= allowed, "{retries} retries, {allowed} allowed");
        Ok(())
    }
}
