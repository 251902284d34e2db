//! Hearing one backend server.

use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::*;
use flume::Sender;

use super::{FeedBatch, FeedSource, ReaderControl};
use crate::decide::{DecideMessage, OwnedCacheUpdate};

/// Hears the load reports and cache events of one model engine.
#[derive(Debug)]
pub struct FeedReader<L> {
    link: L,
    server: ServerId,
    listening: Arc<ReaderControl>,
    decide: Sender<DecideMessage>,
    epoch: u64,
    next: u64,
    /// The events that were heard of this life.
    heard: u64,
}

/// The first wait after a failure.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
/// The longest wait after a failure.
const BACKOFF_CAP: Duration = Duration::from_secs(5);

impl<L: FeedSource> FeedReader<L> {
    /// Creates the duty.
    pub const fn new(
        link: L,
        server: ServerId,
        listening: Arc<ReaderControl>,
        decide: Sender<DecideMessage>,
    ) -> Self {
        Self {
            link,
            server,
            listening,
            decide,
            epoch: 0,
            next: 0,
            heard: 0,
        }
    }

    /// Runs until it is stopped.
    pub fn run(mut self) {
        let seed = Rendezvous::new(PrefixKey::new(0)).weight(&self.server);
        let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP, seed);
        let mut lost = false;
        while !self.listening.is_stopped() {
            let (address, whole) = (self.listening.address(), self.listening.take_resync());
            match self.link.poll(&self.server, address, self.next, whole) {
                Ok(word) => {
                    if lost {
                        log::info!(step = "news", peer:% = self.server, epoch = word.epoch; "a server's news are back");
                    }
                    lost = false;
                    backoff.reset();
                    self.pass_on(word);
                    if !L::INTERVAL.is_zero() {
                        std::thread::park_timeout(L::INTERVAL);
                    }
                }
                Err(e) => {
                    if !lost {
                        log::warn!(step = "news", peer:% = self.server, error:% = e; "a server's news are lost");
                    }
                    lost = true;
                    self.listening.resync();
                    std::thread::park_timeout(backoff.next_delay());
                }
            }
        }
    }

    fn pass_on(&mut self, word: FeedBatch) {
        let incarnation = word.incarnation.unwrap_or_else(|| self.listening.listed());
        if word.epoch != self.epoch {
            let known = self.epoch != 0;
            self.epoch = word.epoch;
            // A run that does not begin at the first event leaves the content unknown.
            self.heard = u64::from(word.lost);
            if known && word.first.is_none() {
                // The list may not tell of the new life yet: what the old one held is gone.
                self.tell(incarnation, true, Vec::new(), 0);
            }
        }
        self.next = word.next;
        if let Some(load) = word.load {
            let _ = self.decide.send(DecideMessage::Load(load));
        }
        let first = word.first.unwrap_or(self.heard);
        self.heard += word.ops.len() as u64;
        self.tell(incarnation, word.snapshot, word.ops, first);
    }

    fn tell(&self, incarnation: Incarnation, whole: bool, ops: Vec<CacheOp>, first: u64) {
        let run = OwnedCacheUpdate {
            server: self.server.clone(),
            incarnation,
            first,
            snapshot: whole,
            ops,
        };
        // The deciding duty ends only with the process or after it has stopped this one.
        let _ = self.decide.send(DecideMessage::Cache(run));
    }
}
