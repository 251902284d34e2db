//! Feeds over azureway's own HTTP interface.

use std::net::SocketAddr;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_wire::engine::FeedBody;

use super::{FeedBatch, FeedSource};

/// Polls feeds over azureway's own HTTP interface, `GET /v1/news`.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpFeed;

/// How long the engine holds a call while it has no events.
const WAIT: Duration = Duration::from_millis(500);
/// The timeout of a call, in seconds: [`WAIT`] and a margin for a slow engine.
const TIMEOUT: u64 = 2;

impl FeedSource for HttpFeed {
    const INTERVAL: Duration = Duration::ZERO;

    fn poll(
        &mut self,
        server: &ServerId,
        address: SocketAddr,
        next: u64,
        snapshot: bool,
    ) -> Result<FeedBatch, Error> {
        const STEP: Step = Step::new("hear engine");
        let error = |kind, detail: String| Error::new(kind, STEP, detail).with_peer(server);
        let wait = WAIT.as_millis();
        let url = format!("http://{address}/v1/news?after={next}&wait_ms={wait}&whole={snapshot}");
        let answer = minreq::get(url).with_timeout(TIMEOUT).send();
        let answer = answer.map_err(|e| error(ErrorKind::Unavailable, e.to_string()))?;
        let news: FeedBody = serde_json::from_slice(answer.as_bytes())
            .map_err(|e| error(ErrorKind::Protocol, e.to_string()))?;
        let ops = news.cache_ops();
        Ok(FeedBatch {
            incarnation: Some(Incarnation::new(news.incarnation)),
            epoch: news.incarnation,
            next: news.next_event(),
            first: Some(news.first),
            lost: false,
            snapshot: news.whole,
            ops: ops.map_err(|e| error(ErrorKind::Protocol, e.to_string()))?,
            load: Some(news.load_report(server.clone())),
        })
    }
}
