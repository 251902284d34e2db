//! Serving of the operators' interface: status, explanations and drain requests.

use std::io::Read;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::{Error, ErrorKind, KeyHash, Rank, Step};
use azureway_wire::admin::{DRAIN_PATH, EXPLAIN_PATH, STATUS_PATH, ServerBody, StatusBody};
use flume::TrySendError;
use serde::Serialize;
use tiny_http::{Header, Method, Request, Response, Server};

use super::{AdminError, AdminHandles, Explainer};
use crate::decide::{DecideMessage, Query};

/// The duty that serves the operators' interface, one request after the other.
pub struct AdminDuty {
    server: Arc<Server>,
    handles: AdminHandles,
}

/// The time that an operator's request waits for each reply of another duty before it fails.
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of a request body, in bytes.
const BODY_MAX: u64 = 4 * 1024 * 1024;

impl AdminDuty {
    /// Creates the duty and binds `address`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub fn new(address: SocketAddr, handles: AdminHandles) -> Result<Self, Error> {
        const STEP: Step = Step::new("listen for operators");
        let server = Server::http(address);
        let server =
            server.map_err(|e| Error::new(ErrorKind::System, STEP, e).with_peer(address))?;
        let server = Arc::new(server);
        Ok(Self { server, handles })
    }

    /// Returns the HTTP server. Unblocking it stops the duty.
    pub fn server(&self) -> Arc<Server> {
        Arc::clone(&self.server)
    }

    /// Runs until the server is unblocked.
    pub fn run(self) {
        while let Ok(mut request) = self.server.recv() {
            match self.answer(&mut request) {
                Ok(body) => reply(request, 200, &body),
                Err(e) => {
                    log::warn!(step = "admin", status = e.status(), error:% = e; "refused an operator's request");
                    reply(
                        request,
                        e.status(),
                        &serde_json::json!({ "error": e.to_string() }),
                    );
                }
            }
        }
    }

    fn answer(&self, request: &mut Request) -> Result<serde_json::Value, AdminError> {
        if !self.is_allowed(request) {
            return Err(AdminError::Unauthorized);
        }
        let url = request.url().to_owned();
        let (path, query) = url.split_once('?').unwrap_or((&url, ""));
        match (request.method(), path) {
            (Method::Get, STATUS_PATH) => to_json(&self.status()?),
            (Method::Post, EXPLAIN_PATH) => self.explain(request, query),
            (Method::Post, DRAIN_PATH) => self.drain(),
            _ => Err(AdminError::NotFound),
        }
    }

    fn drain(&self) -> Result<serde_json::Value, AdminError> {
        // A full ring means that an earlier request already started the drain.
        if let Err(TrySendError::Disconnected(())) = self.handles.shutdown.try_send(()) {
            return Err(AdminError::Embedded);
        }
        log::info!(step = "admin"; "an operator started the drain of this instance");
        Ok(serde_json::json!({ "draining": true }))
    }

    fn is_allowed(&self, request: &Request) -> bool {
        let Some(hash) = &self.handles.operator_key else {
            return true;
        };
        let headers = request.headers().iter();
        let mut values = headers.filter(|h| h.field.equiv("authorization"));
        let key = values
            .next()
            .and_then(|h| h.value.as_str().strip_prefix("Bearer "));
        key.is_some_and(|k| hash.matches(&KeyHash::of(k.trim())))
    }

    fn status(&self) -> Result<StatusBody, AdminError> {
        let (reply, answer) = flume::bounded(1);
        let sent = self
            .handles
            .decide
            .send_timeout(DecideMessage::Query(Query::Status(reply)), REPLY_TIMEOUT);
        sent.map_err(|_| AdminError::Timeout)?;
        let status = answer
            .recv_timeout(REPLY_TIMEOUT)
            .map_err(|_| AdminError::Timeout)?;
        Ok(StatusBody {
            instance: self.handles.instance.as_str().into(),
            zone: self.handles.zone.as_str().into(),
            rejected: status.rejected.map(|v| v.get()),
            servers: status
                .servers
                .iter()
                .map(|s| ServerBody::new(s, status.at))
                .collect(),
            ..status.overview.into()
        })
    }

    fn explain(&self, request: &mut Request, query: &str) -> Result<serde_json::Value, AdminError> {
        let get = |key: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(k, _)| *k == key).map(|(_, v)| v)
        };
        let invalid = |detail: &str| AdminError::Invalid(detail.into());
        let account = get("account").ok_or_else(|| invalid("name the account"))?;
        let rank = Rank::parse(get("rank").unwrap_or(Rank::Urgent.as_str()));
        let rank = rank.ok_or_else(|| invalid("the rank is `urgent` or `drafting`"))?;
        let mut body = Vec::new();
        let read = request.as_reader().take(BODY_MAX).read_to_end(&mut body);
        read.map_err(|_| invalid("the body did not arrive"))?;
        to_json(&Explainer::new(&self.handles, REPLY_TIMEOUT).explain(account, rank, body)?)
    }
}

fn to_json(body: &impl Serialize) -> Result<serde_json::Value, AdminError> {
    serde_json::to_value(body).map_err(|e| AdminError::Invalid(e.to_string().into()))
}

fn reply(request: Request, status: u16, body: &serde_json::Value) {
    let content_type = Header::from_bytes("content-type", "application/json");
    let response = Response::from_string(body.to_string()).with_status_code(status);
    let response = content_type
        .into_iter()
        .fold(response, Response::with_header);
    // The operator may have disconnected; no one else needs the answer.
    let _ = request.respond(response);
}
