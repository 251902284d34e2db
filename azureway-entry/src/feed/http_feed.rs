//! Polling of load reports and cache events over azureway's own HTTP interface.

use std::net::SocketAddr;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_wire::engine::FeedBody;

use super::{FeedBatch, FeedSource};
use crate::exchange::BackendConnection;

/// Polls the load and the cache events of model engines with `GET /v1/news`.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpFeed;

/// The time for which the engine may hold a call open while it has no events.
const WAIT: Duration = Duration::from_millis(500);
/// The time limit of a call: [`WAIT`] and a margin for a slow engine.
const TIMEOUT: Duration = Duration::from_secs(2);

impl FeedSource for HttpFeed {
    const INTERVAL: Duration = Duration::ZERO;
    const PAUSES: bool = false;

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
        let path = format!("/v1/news?after={next}&wait_ms={wait}&whole={snapshot}");
        let answer = BackendConnection::get(address, &path, TIMEOUT);
        let (_, text) = answer.map_err(|e| error(ErrorKind::Unavailable, e.to_string()))?;
        let body: FeedBody =
            serde_json::from_slice(&text).map_err(|e| error(ErrorKind::Protocol, e.to_string()))?;
        let ops = body.cache_ops();
        Ok(FeedBatch {
            incarnation: Some(Incarnation::new(body.incarnation)),
            epoch: body.incarnation,
            next: body.next_event(),
            first: Some(body.first),
            lost: false,
            snapshot: body.whole,
            ops: ops.map_err(|e| error(ErrorKind::Protocol, e.to_string()))?,
            bytes: text.len(),
            load: Some(body.load_report(server.clone())),
        })
    }
}
