//! Hearing one model engine.

use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_wire::engine::EngineNews;
use flume::Sender;

use super::ReaderControl;
use crate::decide::{CacheRun, DecideMessage};

/// Hears the load reports and cache events of one model engine.
#[derive(Debug)]
pub struct NewsReader {
    server: ServerId,
    listening: Arc<ReaderControl>,
    decide: Sender<DecideMessage>,
    next: u64,
}

/// How long the engine keeps a call that has no news for it.
const WAIT: Duration = Duration::from_millis(500);
/// The limit of a call, in seconds: the wait and as much again as the engine may be late.
const TIMEOUT: u64 = 2;
/// The first wait after a failure.
const BACKOFF_BASE: Duration = Duration::from_millis(100);
/// The longest wait after a failure.
const BACKOFF_CAP: Duration = Duration::from_secs(5);

impl NewsReader {
    /// Creates the duty.
    pub const fn new(
        server: ServerId,
        listening: Arc<ReaderControl>,
        decide: Sender<DecideMessage>,
    ) -> Self {
        Self {
            server,
            listening,
            decide,
            next: 0,
        }
    }

    /// Runs until it is stopped.
    pub fn run(mut self) {
        let seed = Rendezvous::new(PrefixKey::new(0)).weight(&self.server);
        let mut backoff = Backoff::new(BACKOFF_BASE, BACKOFF_CAP, seed);
        while !self.listening.is_stopped() {
            match self.ask() {
                Ok(news) => {
                    backoff.reset();
                    self.pass_on(news);
                }
                Err(e) => {
                    log::debug!(step = "news", peer:% = self.server, error:% = e; "no news");
                    self.listening.resync();
                    std::thread::park_timeout(backoff.fail());
                }
            }
        }
    }

    fn ask(&self) -> Result<EngineNews, Error> {
        const STEP: Step = Step::new("hear engine");
        let error = |kind, detail: String| Error::new(kind, STEP, detail).with_peer(&self.server);
        let whole = self.listening.take_resync();
        let (address, next, wait) = (self.listening.address(), self.next, WAIT.as_millis());
        let url = format!("http://{address}/v1/news?after={next}&wait_ms={wait}&whole={whole}");
        let answer = minreq::get(url).with_timeout(TIMEOUT).send();
        let answer = answer.map_err(|e| error(ErrorKind::Unavailable, e.to_string()))?;
        serde_json::from_slice(answer.as_bytes())
            .map_err(|e| error(ErrorKind::Protocol, e.to_string()))
    }

    fn pass_on(&mut self, news: EngineNews) {
        let Ok(ops) = news.ops() else {
            log::warn!(step = "news", peer:% = self.server; "cache events that are no keys");
            return;
        };
        self.next = news.next();
        let _ = self
            .decide
            .send(DecideMessage::Load(news.load(self.server.clone())));
        let run = CacheRun {
            server: self.server.clone(),
            incarnation: Incarnation::new(news.incarnation),
            first: news.first,
            whole: news.whole,
            ops,
        };
        let _ = self.decide.send(DecideMessage::Cache(run));
    }
}
