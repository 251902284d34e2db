//! What must never be seen in a drawn run.

use std::time::Duration;

use azureway_core::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::TestCaseError;

use super::{ACCOUNTS, READ_GAP, World};
use crate::entry::{GRACE, SHARE, SLACK};
use crate::replica::text;

/// The time after which a replica's leaving has to be known to those in touch.
const DRAIN: Duration = Duration::from_millis(2_500);

impl World {
    pub(super) fn check_order(&self, at: usize, order: &Dispatch) -> Result<(), TestCaseError> {
        let record = &self.records[&order.attempt.id];
        prop_assert!(!record.ended, "what has ended is not sent");
        prop_assert_eq!(
            order.position.get(),
            record.received,
            "a stream goes on where it stopped"
        );
        let elsewhere = self
            .running
            .iter()
            .any(|(_, o)| o.attempt.id == order.attempt.id);
        prop_assert!(!elsewhere, "a request has one try at a time");
        let touch = |time| self.entries[at].in_touch(self.now, time);
        if let Some(since) = self.store.leaving.get(&order.server) {
            let late = self.now.since(*since) >= DRAIN && touch(DRAIN);
            prop_assert!(!late, "a replica that leaves gets nothing new");
        }
        let (newest, named) = self.store.named;
        if order.weights < newest {
            let late = self.now.since(named) > GRACE + READ_GAP && touch(GRACE + READ_GAP);
            prop_assert!(!late, "older weights answer only for a while");
        }
        Ok(())
    }

    /// Checks what the replica finds of the prompt.
    pub(super) fn check_parts(&self, order: &Dispatch) -> Result<(), TestCaseError> {
        let record = &self.records[&order.attempt.id];
        let replica = self.replicas.iter().find(|r| r.id == order.server);
        let found = replica.and_then(|r| r.parts.get(&(text(order), record.prompt)));
        if let Some((account, weights)) = found {
            prop_assert_eq!(*weights, order.weights, "parts are of the right weights");
            let walled = [*account, record.account].map(|a| ACCOUNTS[a] == "walled");
            let alone = walled.contains(&true) && *account != record.account;
            prop_assert!(!alone, "parts are not shared through a wall");
        }
        Ok(())
    }

    /// Checks that in the window that ends now no more was sent again than the share of what
    /// was asked, in it or in the one before, and the slack.
    pub(super) fn check_budget(&self) -> Result<(), TestCaseError> {
        let inside = |t: &&Timestamp| self.now.since(**t) < SLACK.window;
        let near = |t: &&Timestamp| self.now.since(**t) < SLACK.window * 2;
        let again = self.again.iter().filter(inside).count();
        let asked = self.asked.iter().filter(near).count();
        let allowed = asked * SHARE as usize / 100 + SLACK.count as usize;
        prop_assert!(again <= allowed, "{again} sent again, {allowed} allowed");
        Ok(())
    }
}
