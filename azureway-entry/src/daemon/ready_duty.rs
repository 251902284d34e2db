//! Readiness and metrics over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use azureway_core::prelude::{Error, ErrorKind, Step};
use flume::Sender;
use tiny_http::{Request, Response, Server};

use crate::meter::MetricEvent;
use crate::routed::ServingState;

/// The duty that answers the balancer's readiness checks and serves the metrics.
pub struct ReadyDuty {
    server: Server,
    ready: Arc<AtomicBool>,
    serving: ServingState,
    meter: Sender<MetricEvent>,
}

impl ReadyDuty {
    /// Creates the duty and binds its address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn new(
        address: SocketAddr,
        ready: Arc<AtomicBool>,
        serving: ServingState,
        meter: Sender<MetricEvent>,
    ) -> Result<Self, Error> {
        const STEP: Step = Step::new("listen for the balancer");
        let server = Server::http(address);
        let server =
            server.map_err(|e| Error::new(ErrorKind::System, STEP, e).with_peer(address))?;
        Ok(Self {
            server,
            ready,
            serving,
            meter,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> Option<SocketAddr> {
        self.server.server_addr().to_ip()
    }

    /// Runs until the process ends.
    pub fn run(self) {
        for request in self.server.incoming_requests() {
            let (status, body) = self.answer(&request);
            let response = Response::from_string(body).with_status_code(status);
            if let Err(e) = request.respond(response) {
                log::debug!(step = "ready", error:% = e; "the client disconnected before the response");
            }
        }
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        match request.url() {
            "/metrics" => self.scrape(),
            _ if self.ready.load(Ordering::Acquire) && !self.serving.is_draining() => {
                (200, "ready\n".to_owned())
            }
            _ => (503, "not ready\n".to_owned()),
        }
    }

    fn scrape(&self) -> (u16, String) {
        let (reply, text) = flume::bounded(1);
        let asked = self.meter.send(MetricEvent::Scrape(reply));
        match asked.ok().and_then(|()| text.recv().ok()) {
            Some(text) => (200, text),
            None => (503, "the measuring duty has ended\n".to_owned()),
        }
    }
}
