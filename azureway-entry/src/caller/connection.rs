//! A caller's connection from its request to the answer, with health checks and metrics.

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::time::{Duration, Instant};

use azureway_config::settings::Bounds;
use azureway_core::prelude::{Refusal, RefusalReason, RequestId};

use super::{Answer, BadInput, BodyReader, CallerLink, Head, HeadReader, Responder, TimedStream};
use crate::admit::{AdmitMessage, Call};
use crate::daemon::Handles;
use crate::decide::DecideMessage;
use crate::memory::{ATTEMPT_COST, HeldReader, MemoryHold};
use crate::meter::MetricEvent;

/// The duty of a caller's connection, which reads one request and writes its answer.
#[derive(Debug)]
pub struct Connection {
    stream: Arc<TcpStream>,
    handles: Handles,
    bounds: Bounds,
}

/// The time for which input is discarded after a malformed request is refused. Without this, the
/// close would reset the connection, and the caller could lose the answer.
const DISCARD_TIME: Duration = Duration::from_secs(1);
/// The time for which a write may block because the caller accepts no bytes.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// The capacity of the ring that carries the updates of a request to its connection.
const UPDATE_RING: usize = 16;

impl Connection {
    /// Creates the duty.
    pub fn new(stream: TcpStream, handles: Handles, bounds: Bounds) -> Self {
        Self {
            stream: Arc::new(stream),
            handles,
            bounds,
        }
    }

    /// Reads the request, answers it and closes the connection.
    pub fn run(self) {
        let _ = self.stream.set_nodelay(true);
        let _ = self.stream.set_write_timeout(Some(WRITE_TIMEOUT));
        let deadline = Instant::now() + self.bounds.request_timeout;
        let hold = self.handles.memory.open();
        match self.receive(deadline, &hold) {
            Ok((head, body)) => self.answer(head, body, hold),
            Err(BadInput::Closed) => {}
            Err(input) => self.reject(input),
        }
    }

    fn receive(&self, deadline: Instant, hold: &MemoryHold) -> Result<(Head, Vec<u8>), BadInput> {
        let mut stream = TimedStream::new(&self.stream, deadline);
        let (head, early) = HeadReader::new(self.bounds.head_bytes).read(&mut stream)?;
        let body = BodyReader::new(&head)?;
        if head
            .get("expect")
            .is_some_and(|v| v.eq_ignore_ascii_case("100-continue"))
        {
            let _ = (&*self.stream).write_all(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
        let mut stream = HeldReader::new(stream, hold);
        let body = body.read(&early, &mut stream, self.bounds.body_bytes)?;
        Ok((head, body))
    }

    fn reject(&self, input: BadInput) {
        let responder = Responder::new(&self.stream);
        let _ = responder.refuse(&Refusal::from(input));
        responder.close();
        // Closing a socket with unread bytes resets the connection, and the caller could lose the
        // answer.
        let mut unread = TimedStream::new(&self.stream, Instant::now() + DISCARD_TIME);
        let _ = io::copy(&mut unread, &mut io::sink());
    }

    fn answer(&self, head: Head, body: Vec<u8>, hold: MemoryHold) {
        let responder = Responder::new(&self.stream);
        let text = "text/plain; charset=utf-8";
        let _ = match (head.method.as_ref(), head.path.as_ref()) {
            ("GET", "/healthz") => responder.write_complete(200, text, b"ok\n"),
            ("GET", "/readyz") if self.handles.is_ready() => {
                responder.write_complete(200, text, b"ready\n")
            }
            ("GET", "/readyz") => responder.write_complete(503, text, b"not ready\n"),
            ("GET", "/metrics") => self.scrape(&responder),
            _ => self.route(head, body, hold),
        };
        responder.close();
    }

    fn scrape(&self, responder: &Responder<'_>) -> io::Result<()> {
        let (reply, text) = flume::bounded(1);
        let _ = self.handles.meter.send(MetricEvent::Scrape(reply));
        let text = text.recv().map_err(io::Error::other)?;
        responder.write_complete(
            200,
            "application/openmetrics-text; version=1.0.0; charset=utf-8",
            text.as_bytes(),
        )
    }

    /// Sends the request to the admitting duty and writes its answer.
    fn route(&self, head: Head, body: Vec<u8>, hold: MemoryHold) -> io::Result<()> {
        if !hold.grow(ATTEMPT_COST) {
            return self.refuse_overload();
        }
        let id = self.handles.ids.next();
        let link = CallerLink::with_hold(id, Arc::clone(&self.stream), hold);
        let (sender, updates) = flume::bounded(UPDATE_RING);
        let call = Call {
            id,
            head,
            body,
            arrived: self.handles.clock.now(),
            updates: sender,
            link: Arc::clone(&link),
        };
        if self
            .handles
            .admit
            .try_send(AdmitMessage::Call(Box::new(call)))
            .is_err()
        {
            return self.refuse_overload();
        }
        let mut answer = Answer::new(&self.stream).with_hold(link.hold());
        let result = answer.run(&updates);
        if let (Err(_), Some(id)) = (&result, answer.id()) {
            self.disconnected(id);
        }
        result
    }

    /// Cancels the request of a caller that has disconnected.
    fn disconnected(&self, id: RequestId) {
        let _ = self
            .handles
            .decide
            .send(DecideMessage::CallerDisconnected(id));
    }

    /// Refuses a request for which there is no room.
    fn refuse_overload(&self) -> io::Result<()> {
        let refusal = Refusal::not_run(RefusalReason::Overloaded, "too many requests at once");
        Responder::new(&self.stream).refuse(&refusal)
    }
}
