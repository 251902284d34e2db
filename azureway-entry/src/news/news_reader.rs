//! Hearing one backend server.

use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::*;
use flume::Sender;

use super::{NewsLink, ReaderControl, ServerWord};
use crate::decide::{CacheRun, DecideMessage};

/// Hears the load reports and cache events of one model engine.
#[derive(Debug)]
pub struct NewsReader<L> {
    link: L,
    server: ServerId,
    listening: Arc<ReaderControl>,
    decide: Sender<DecideMessage>,
    incarnation: Incarnation,
    next: u64,
    /// The events that were heard of this life.
    heard: u64,
}

/// The first wait after a failure.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
/// The longest wait after a failure.
const BACKOFF_CAP: Duration = Duration::from_secs(5);

impl<L: NewsLink> NewsReader<L> {
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
            incarnation: Incarnation::ZERO,
            next: 0,
            heard: 0,
        }
    }

    /// Runs until it is stopped.
    pub fn run(mut self) {
        let seed = Rendezvous::new(PrefixKey::new(0)).weight(&self.server);
        let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP, seed);
        while !self.listening.is_stopped() {
            let (address, whole) = (self.listening.address(), self.listening.take_resync());
            match self.link.ask(&self.server, address, self.next, whole) {
                Ok(word) => {
                    backoff.reset();
                    self.pass_on(word);
                    if !L::GAP.is_zero() {
                        std::thread::park_timeout(L::GAP);
                    }
                }
                Err(e) => {
                    log::debug!(step = "news", peer:% = self.server, error:% = e; "no news");
                    self.listening.resync();
                    std::thread::park_timeout(backoff.fail());
                }
            }
        }
    }

    fn pass_on(&mut self, word: ServerWord) {
        if word.incarnation != self.incarnation {
            self.incarnation = word.incarnation;
            // A run that does not begin at the first event leaves the content unknown.
            self.heard = u64::from(word.lost);
        }
        self.next = word.next;
        if let Some(load) = word.load {
            let _ = self.decide.send(DecideMessage::Load(load));
        }
        let run = CacheRun {
            server: self.server.clone(),
            incarnation: word.incarnation,
            first: word.first.unwrap_or(self.heard),
            whole: word.whole,
            ops: word.ops,
        };
        self.heard += run.ops.len() as u64;
        let _ = self.decide.send(DecideMessage::Cache(run));
    }
}
