//! The thread that polls one backend server for load reports and cache events.

use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::*;
use flume::Sender;

use super::{FeedBatch, FeedBudget, FeedSource, ReaderControl};
use crate::decide::{DecideMessage, OwnedCacheUpdate};
use crate::memory::{CallMemory, MemoryHold};

/// Reads the load reports and cache events of one model engine and sends them to the deciding
/// duty.
#[derive(Debug)]
pub struct FeedReader<S> {
    source: S,
    server: ServerId,
    control: Arc<ReaderControl>,
    decide: Sender<DecideMessage>,
    budget: Arc<FeedBudget>,
    seed: u64,
    /// The size of the last answer, in bytes, which the next one is expected to have.
    expected: usize,
    epoch: u64,
    next: u64,
    /// The number of the next cache event of this epoch, if the feed does not number them.
    next_event: u64,
    memory: CallMemory,
}

/// The expected size of a server's first answer, in bytes: it may tell of its whole cache.
const FIRST_SIZE: usize = 64 * 1024;
/// The initial backoff after a failed poll.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
/// The initial backoff after a poll that the server refused because others occupy all places for
/// polls. A place is occupied for about a second.
const LIMITED_BACKOFF_BASE: Duration = Duration::from_secs(1);
/// The maximum backoff after a failed poll.
const BACKOFF_CAP: Duration = Duration::from_secs(5);

impl<S: FeedSource> FeedReader<S> {
    /// Creates the reader of `server`'s feed. `seed` randomizes retries, so that instances do not
    /// poll a server together.
    pub fn new(
        source: S,
        server: ServerId,
        control: Arc<ReaderControl>,
        decide: Sender<DecideMessage>,
        budget: Arc<FeedBudget>,
        seed: u64,
    ) -> Self {
        Self {
            source,
            server,
            control,
            decide,
            budget,
            seed,
            expected: FIRST_SIZE,
            epoch: 0,
            next: 0,
            next_event: 0,
            memory: CallMemory::default(),
        }
    }

    /// Sets the memory that answers take until they are applied.
    #[must_use]
    pub fn with_memory(mut self, memory: CallMemory) -> Self {
        self.memory = memory;
        self
    }

    /// Polls the feed until the control stops the reader.
    pub fn run(mut self) {
        let seed = self.seed ^ Rendezvous::new(PrefixKey::new(0)).weight(&self.server);
        let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP, seed);
        let mut limited = Backoff::new(LIMITED_BACKOFF_BASE, BACKOFF_CAP, seed);
        let mut failing = false;
        while self.wait_turn() {
            let hold = self.memory.open();
            match self.poll(&hold) {
                Ok(batch) => {
                    if failing {
                        log::info!(step = "news", peer:% = self.server, epoch = batch.epoch; "a server's feed recovered");
                    }
                    failing = false;
                    backoff.reset();
                    limited.reset();
                    self.handle_batch(batch, hold);
                    if !S::INTERVAL.is_zero() {
                        std::thread::park_timeout(S::INTERVAL);
                    }
                }
                Err(e) => {
                    if !failing {
                        log::warn!(step = "news", peer:% = self.server, error:% = e; "a server's feed failed");
                    }
                    failing = true;
                    self.control.resync();
                    let delay = match e.kind() {
                        ErrorKind::Limited => limited.next_delay(),
                        _ => backoff.next_delay(),
                    };
                    std::thread::park_timeout(delay);
                }
            }
        }
    }

    /// Waits until the server may be polled. Returns `false` if the reader must stop.
    fn wait_turn(&self) -> bool {
        if S::PAUSES {
            self.control.wait_hold();
        }
        !self.control.is_stopped()
    }

    /// Polls the server once the budget allows it.
    fn poll(&mut self, hold: &MemoryHold) -> Result<FeedBatch, Error> {
        self.budget.reserve(self.expected);
        let (address, snapshot) = (self.control.address(), self.control.take_resync());
        let answer = self
            .source
            .poll(&self.server, address, self.next, snapshot, hold);
        let received = answer.as_ref().map_or(0, |batch| batch.bytes);
        self.budget.settle(self.expected, received);
        if answer.is_ok() {
            self.expected = received;
        }
        answer
    }

    /// Sends a batch on, whose memory stays in `hold` until it is applied.
    fn handle_batch(&mut self, batch: FeedBatch, hold: MemoryHold) {
        let incarnation = batch.incarnation.unwrap_or_else(|| self.control.listed());
        if batch.epoch != self.epoch {
            let restarted = self.epoch != 0;
            self.epoch = batch.epoch;
            // After lost events the numbering starts at 1 instead of 0, by which the core knows
            // that the cache may hold content that no event reported.
            self.next_event = u64::from(batch.lost);
            if restarted && batch.first.is_none() {
                // The server restarted, but the platform's list may still show the previous
                // incarnation. An empty snapshot drops the cache content of that incarnation.
                let update = self.update(incarnation, true, Vec::new(), 0);
                self.send_update(update);
            }
        }
        self.next = batch.next;
        if let Some(load) = batch.load {
            let _ = self.decide.send(DecideMessage::Load(load));
        }
        let first = batch.first.unwrap_or(self.next_event);
        self.next_event += batch.ops.len() as u64;
        let update = self.update(incarnation, batch.snapshot, batch.ops, first);
        self.send_update(update.with_hold(hold));
    }

    fn update(
        &self,
        incarnation: Incarnation,
        snapshot: bool,
        ops: Vec<CacheOp>,
        first: u64,
    ) -> OwnedCacheUpdate {
        OwnedCacheUpdate {
            server: self.server.clone(),
            incarnation,
            first,
            snapshot,
            ops,
            hold: MemoryHold::default(),
        }
    }

    fn send_update(&self, update: OwnedCacheUpdate) {
        // An error needs no handling: the deciding duty ends only with the process or after it
        // has stopped this reader.
        let _ = self.decide.send(DecideMessage::Cache(update));
    }
}
