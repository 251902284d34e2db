//! Starting tries.

use std::collections::HashMap;
use std::sync::{Arc, Weak};
use std::thread;

use azureway_config::settings::Bounds;
use azureway_core::prelude::*;
use flume::{Receiver, Sender};

use super::{BackendDialect, CancelHandle, ConnectionPool, ExchangeAttempt};
use crate::admit::UpstreamRequest;
use crate::caller::AnswerChunk;
use crate::clock::Clock;
use crate::decide::DecideMessage;
use crate::relay::{Launch, report_unsent};

/// Starts a thread for each try that passes a request on. The decisions bound how many there
/// are by the slots of the backend servers.
#[derive(Debug)]
pub struct ExchangeLauncher<D> {
    dialect: D,
    pool: ConnectionPool,
    decide: Sender<DecideMessage>,
    bounds: Bounds,
    clock: Clock,
    tries: HashMap<RequestId, Weak<CancelHandle>>,
    swept: usize,
}

/// The chunks that wait for a caller's connection; a try that finds the ring full waits, and
/// the backend server is held back by its connection.
const CHUNKS: usize = 64;
/// The stack of a try's thread, in bytes.
const STACK_SIZE: usize = 128 * 1024;
/// The number of tries below which those that have ended are not swept.
const SWEEP_MIN: usize = 64;

impl<D: BackendDialect> ExchangeLauncher<D> {
    /// Creates a launcher whose tries report to `decide`.
    pub fn new(dialect: D, decide: Sender<DecideMessage>, bounds: Bounds, clock: Clock) -> Self {
        Self {
            dialect,
            pool: ConnectionPool::new(bounds.idle),
            decide,
            bounds,
            clock,
            tries: HashMap::new(),
            swept: SWEEP_MIN,
        }
    }

    /// Notes a try, and forgets those that have ended once they are half of all.
    fn track(&mut self, id: RequestId, handle: &Arc<CancelHandle>) {
        if self.tries.len() >= self.swept {
            self.tries.retain(|_, h| h.strong_count() > 0);
            self.swept = (self.tries.len() * 2).max(SWEEP_MIN);
        }
        self.tries.insert(id, Arc::downgrade(handle));
    }
}

impl<D: BackendDialect> Launch for ExchangeLauncher<D> {
    fn launch(
        &mut self,
        dispatch: Dispatch,
        upstream: Arc<UpstreamRequest>,
    ) -> Receiver<AnswerChunk> {
        let (sender, chunks) = flume::bounded(CHUNKS);
        let attempt = dispatch.attempt;
        let handle = Arc::new(CancelHandle::new());
        self.track(attempt.id, &handle);
        let job = ExchangeAttempt {
            next_position: dispatch.position,
            dispatch,
            upstream,
            chunks: sender,
            decide: self.decide.clone(),
            dialect: self.dialect.clone(),
            pool: self.pool.clone(),
            handle,
            connect_timeout: self.bounds.connect,
            clock: self.clock,
            output: TokenCount::ZERO,
        };
        let thread = thread::Builder::new()
            .name("exchange".to_owned())
            .stack_size(STACK_SIZE);
        if let Err(e) = thread.spawn(move || job.run()) {
            log::error!(request:% = attempt.id, step = "exchange", error:% = e; "no thread");
            report_unsent(&self.decide, attempt);
        }
        chunks
    }

    fn cancel(&mut self, attempt: Attempt) {
        let handle = self.tries.remove(&attempt.id);
        if let Some(handle) = handle.and_then(|h| h.upgrade()) {
            handle.cancel();
        }
    }
}
