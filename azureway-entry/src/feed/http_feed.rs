//! Polling of load reports and cache events over azureway's own HTTP interface.

use std::net::SocketAddr;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_wire::engine::FeedBody;

use super::{FeedBatch, FeedSource};
use crate::exchange::BackendConnection;
use crate::memory::MemoryHold;

/// Polls the load and the cache events of model engines with `GET /v1/news`.
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpFeed;

/// The time for which the engine may hold a call open while it has no events.
const WAIT: Duration = Duration::from_millis(500);
/// The time limit of a call: [`WAIT`] and a margin for a slow engine.
const TIMEOUT: Duration = Duration::from_secs(2);
/// The memory of a decoded answer for each of its bytes: the shortest event has 15 bytes and takes 32, and
/// the list of events may be half empty.
const DECODED_SIZE: usize = 4;

impl FeedSource for HttpFeed {
    const INTERVAL: Duration = Duration::ZERO;
    const PAUSES: bool = false;

    fn poll(
        &mut self,
        server: &ServerId,
        address: SocketAddr,
        next: u64,
        snapshot: bool,
        hold: &MemoryHold,
    ) -> Result<FeedBatch, Error> {
        const STEP: Step = Step::new("hear engine");
        let error = |kind, detail: String| Error::new(kind, STEP, detail).with_peer(server);
        let wait = WAIT.as_millis();
        let path = format!("/v1/news?after={next}&wait_ms={wait}&whole={snapshot}");
        let answer = BackendConnection::get(address, &path, TIMEOUT, hold);
        let (_, text) = answer.map_err(|e| error(ErrorKind::Unavailable, e.to_string()))?;
        if !hold.grow(text.len() * DECODED_SIZE) {
            let detail = format!("no room to decode an answer of {} bytes", text.len());
            return Err(error(ErrorKind::Unavailable, detail));
        }
        let body: FeedBody =
            serde_json::from_slice(&text).map_err(|e| error(ErrorKind::Protocol, e.to_string()))?;
        hold.shrink(text.capacity());
        let (load, next) = (body.load_report(server.clone()), body.next_event());
        Ok(FeedBatch {
            incarnation: Some(Incarnation::new(body.incarnation)),
            epoch: body.incarnation,
            next,
            first: Some(body.first),
            lost: false,
            snapshot: body.whole,
            ops: body.into_cache_ops(),
            bytes: text.len(),
            load: Some(load),
        })
    }
}
