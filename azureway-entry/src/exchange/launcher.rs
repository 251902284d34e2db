//! Starting and cancelling the attempts of the exchange.

use std::collections::HashMap;
use std::sync::{Arc, Weak};
use std::thread;
use std::time::Duration;

use azureway_config::settings::Bounds;
use azureway_core::prelude::*;
use flume::{Receiver, Sender};

use super::{BackendDialect, BodyMemory, CancelHandle, ConnectionPool, ExchangeAttempt};
use crate::admit::UpstreamRequest;
use crate::caller::AnswerChunk;
use crate::clock::Clock;
use crate::decide::DecideMessage;
use crate::relay::{Launch, report_unsent};

/// Starts a thread for each attempt at a request that is forwarded unchanged. The router bounds
/// their number by the slots of the backend servers.
#[derive(Debug)]
pub struct ExchangeLauncher<D> {
    dialect: D,
    pool: ConnectionPool,
    memory: BodyMemory,
    decide: Sender<DecideMessage>,
    bounds: Bounds,
    clock: Clock,
    handles: HashMap<RequestId, Weak<CancelHandle>>,
    sweep_at: usize,
}

/// The capacity of the ring to a caller's connection. The memory account bounds its bytes long before, so
/// that a slow caller holds up no backend server.
const CHUNK_CAPACITY: usize = 16_384;
/// The stack size of an attempt's thread, in bytes.
const STACK_SIZE: usize = 128 * 1024;
/// The time within which a request breaks that was sent as the server closed the idle connection: a
/// round trip between zones and a retransmission.
const RESEND_LIMIT: Duration = Duration::from_millis(300);
/// The smallest number of handles at which those of ended attempts are removed.
const MIN_SWEEP: usize = 64;

impl<D: BackendDialect> ExchangeLauncher<D> {
    /// Creates a launcher whose attempts report to `decide`.
    pub fn new(dialect: D, decide: Sender<DecideMessage>, bounds: Bounds, clock: Clock) -> Self {
        Self {
            dialect,
            pool: ConnectionPool::new(bounds.idle_connections),
            memory: BodyMemory::new(),
            decide,
            bounds,
            clock,
            handles: HashMap::new(),
            sweep_at: MIN_SWEEP,
        }
    }

    /// Stores the handle of an attempt. Once the number of handles has doubled since the last
    /// sweep, those of ended attempts are removed.
    fn track(&mut self, id: RequestId, handle: &Arc<CancelHandle>) {
        if self.handles.len() >= self.sweep_at {
            self.handles.retain(|_, h| h.strong_count() > 0);
            self.sweep_at = (self.handles.len() * 2).max(MIN_SWEEP);
        }
        self.handles.insert(id, Arc::downgrade(handle));
    }
}

impl<D: BackendDialect> Launch for ExchangeLauncher<D> {
    fn launch(
        &mut self,
        dispatch: Dispatch,
        upstream: Arc<UpstreamRequest>,
    ) -> Receiver<AnswerChunk> {
        let (sender, chunks) = flume::bounded(CHUNK_CAPACITY);
        let attempt = dispatch.attempt;
        let handle = Arc::new(CancelHandle::new());
        self.track(attempt.id, &handle);
        let exchange = ExchangeAttempt {
            next_position: dispatch.position,
            dispatch,
            upstream,
            chunks: sender,
            decide: self.decide.clone(),
            dialect: self.dialect.clone(),
            pool: self.pool.clone(),
            memory: self.memory.clone(),
            handle,
            connect_timeout: self.bounds.connect_timeout,
            resend_limit: RESEND_LIMIT,
            clock: self.clock,
            output: TokenCount::ZERO,
        };
        let thread = thread::Builder::new()
            .name("exchange".to_owned())
            .stack_size(STACK_SIZE);
        if let Err(e) = thread.spawn(move || exchange.run()) {
            log::error!(request:% = attempt.id, step = "exchange", error:% = e; "starting a thread failed");
            report_unsent(&self.decide, attempt);
        }
        chunks
    }

    fn cancel(&mut self, attempt: Attempt) {
        let handle = self.handles.remove(&attempt.id);
        if let Some(handle) = handle.and_then(|h| h.upgrade()) {
            handle.cancel();
        }
    }

    fn recall(&mut self, recall: &Recall) {
        let handle = self.handles.get(&recall.attempt.id);
        if let Some(handle) = handle.and_then(Weak::upgrade) {
            handle.recall(recall.cause);
        }
    }
}
