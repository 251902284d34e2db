//! One attempt of the relay, from sending the request to reporting the outcome.

use std::io::Read;
use std::sync::Arc;

use azureway_config::settings::Bounds;
use azureway_core::prelude::*;
use azureway_wire::chat::UsageFrame;
use azureway_wire::header;
use azureway_wire::sse::SseLine;
use flume::Sender;

use super::{AttemptError, BROKEN, EventReader, FAULTY, GapMeter};
use crate::admit::UpstreamRequest;
use crate::caller::AnswerChunk;
use crate::decide::DecideMessage;
use crate::exchange::{AnswerHead, BodyStream, Framing};
use crate::memory::{BodyBuffer, CHUNK_COST};

/// One attempt at a backend server: sends the request and forwards the answer.
#[derive(Debug)]
pub struct RelayAttempt {
    pub(super) dispatch: Dispatch,
    pub(super) upstream: Arc<UpstreamRequest>,
    pub(super) bounds: Bounds,
    chunks: Sender<AnswerChunk>,
    decide: Sender<DecideMessage>,
    gap_meter: GapMeter,
    next_position: StreamPosition,
    cached: TokenCount,
    output: TokenCount,
    stored_answer: Option<ShortAnswer>,
}

/// The largest body of an answer that is not streamed, in bytes.
const MAX_BODY_SIZE: u64 = 16 * 1024 * 1024;
/// The size of the buffer for reads from a body, in bytes.
const READ_SIZE: usize = 8 * 1024;

impl RelayAttempt {
    /// Creates an attempt that has not sent anything.
    pub fn new(
        dispatch: Dispatch,
        upstream: Arc<UpstreamRequest>,
        bounds: Bounds,
        chunks: Sender<AnswerChunk>,
        decide: Sender<DecideMessage>,
        gap_meter: GapMeter,
    ) -> Self {
        let next_position = dispatch.position;
        let (cached, output) = (TokenCount::ZERO, TokenCount::ZERO);
        Self {
            dispatch,
            upstream,
            bounds,
            chunks,
            decide,
            gap_meter,
            next_position,
            cached,
            output,
            stored_answer: None,
        }
    }

    /// Runs the attempt and reports its outcome to the deciding duty.
    pub fn run(mut self) {
        self.upstream.link.set_account(&self.upstream.account);
        let attempt = self.dispatch.attempt;
        match self.relay() {
            Ok(()) => {
                let finish = Finish {
                    attempt,
                    cached: self.cached,
                    output: self.output,
                };
                let _ = self.decide.send(match self.stored_answer {
                    Some(answer) => DecideMessage::Answered(finish, answer),
                    None => DecideMessage::Finished(finish),
                });
            }
            // The caller's connection has reported the disconnect.
            Err(AttemptError::CallerDisconnected) => {}
            Err(AttemptError::Server(kind, sent)) => {
                let failure = Failure {
                    attempt,
                    kind,
                    sent,
                    position: self.next_position,
                };
                let _ = self.decide.send(DecideMessage::Failed(failure));
            }
        }
    }

    fn relay(&mut self) -> Result<(), AttemptError> {
        let (mut connection, head) = self.send_request()?;
        self.report_pause(&head);
        self.report_leaving(&head);
        let framing = Framing::from_head(&head, &self.upstream.method);
        let framing = framing.map_err(|e| self.invalid_head(&e))?;
        let body = connection.body(framing);
        match self.upstream.kind {
            ServiceKind::Plain => self.forward_complete(&head, body),
            ServiceKind::Model => match AttemptError::from_status(head.status) {
                Some(error) => Err(error),
                None if head.is_success() => self.forward_stream(&head, body),
                None => self.forward_complete(&head, body),
            },
        }
    }

    /// Reports that the server asks for a pause. The report goes first, so that it holds for the
    /// decision about this request too.
    fn report_pause(&self, head: &AnswerHead) {
        let named = head.get_all(header::PAUSE);
        let named = named.filter_map(|v| v.parse().ok());
        let pause = named.filter_map(|ms: u64| Pause::from_seconds(ms as f64 / 1_000.0));
        if let Some(pause) = pause.max().filter(|_| head.status == 503) {
            let notice = PauseNotice {
                server: self.dispatch.server.clone(),
                incarnation: self.dispatch.incarnation,
                pause,
            };
            let _ = self.decide.send(DecideMessage::Paused(notice));
        }
    }

    /// Reports that a model engine leaves, if its answer says so. Plain services say nothing of
    /// themselves.
    fn report_leaving(&self, head: &AnswerHead) {
        let incarnation = head.get(header::LEAVING).and_then(|v| v.parse().ok());
        if let (Some(incarnation), ServiceKind::Model) = (incarnation, self.upstream.kind) {
            let _ = self.decide.send(DecideMessage::Announced(ServerUpdate {
                server: self.dispatch.server.clone(),
                incarnation: Incarnation::new(incarnation),
                status: ServerStatus::Leaving,
            }));
        }
    }

    fn forward_complete(
        &mut self,
        head: &AnswerHead,
        body: BodyStream<'_>,
    ) -> Result<(), AttemptError> {
        let (status, content_type) = (head.status, head.get("content-type"));
        let content_type = content_type.unwrap_or("application/octet-stream");
        let body = self.read_body(body)?;
        self.report_start();
        self.stored_answer = self.storable(status, content_type, &body);
        // The server has completed the request even if the caller has disconnected.
        let _ = self.send_chunk(AnswerChunk::Complete(status, content_type.into(), body));
        Ok(())
    }

    /// Reads a body into memory.
    fn read_body(&self, mut body: impl Read) -> Result<Vec<u8>, AttemptError> {
        let mut bytes = BodyBuffer::new(self.upstream.link.hold());
        let mut buffer = vec![0; READ_SIZE];
        loop {
            let count = body
                .read(&mut buffer)
                .map_err(|e| AttemptError::from_read(&e))?;
            if count == 0 {
                return Ok(bytes.finish());
            }
            let pushed = bytes.push(&buffer[..count]);
            pushed.map_err(|_| self.full(bytes.len()))?;
            if bytes.len() as u64 > MAX_BODY_SIZE {
                return Err(BROKEN);
            }
        }
    }

    /// Gives up the request, since there is no memory for an answer of `size` bytes. Another server would
    /// send as much, so that it is not tried again.
    fn full(&self, size: usize) -> AttemptError {
        log::warn!(request:% = self.dispatch.attempt.id, step = "relay", account:% = self.upstream.account, peer:% = self.dispatch.server, bytes = size; "the answer takes too much memory");
        let given_up = DecideMessage::CallerDisconnected(self.dispatch.attempt.id);
        // The send fails only if the deciding duty has ended.
        let _ = self.decide.send(given_up);
        // The server is sound, and the claim of the request hears of its end.
        AttemptError::Server(FailureKind::Declined, SendState::MaybeRun)
    }

    /// Returns the answer in the form that the request's claim stores, or `None` if the request has
    /// no idempotency key or the answer cannot be stored.
    fn storable(&self, status: u16, content_type: &str, body: &[u8]) -> Option<ShortAnswer> {
        self.upstream.idempotency_key.as_ref()?;
        ShortAnswer::new(status, content_type, body)
    }

    fn forward_stream(
        &mut self,
        head: &AnswerHead,
        body: BodyStream<'_>,
    ) -> Result<(), AttemptError> {
        // The answer to another request must not reach this caller.
        let attempt = self.dispatch.attempt.to_string();
        if head.get(header::ATTEMPT).is_some_and(|a| a != attempt) {
            return Err(FAULTY);
        }
        let mut events = EventReader::new(body);
        loop {
            let (position, data) = events.next_event(&self.dispatch.server)?;
            if self.chunks.is_disconnected() {
                return Err(AttemptError::CallerDisconnected);
            }
            let new = self.forward_event(position.unwrap_or(self.next_position), data)?;
            if data == SseLine::DONE {
                return self.send_chunk(AnswerChunk::End);
            }
            if new {
                events.record_progress();
            }
        }
    }

    /// Forwards an event, unless the caller has already received it. Returns whether it was
    /// forwarded.
    fn forward_event(
        &mut self,
        position: StreamPosition,
        data: &str,
    ) -> Result<bool, AttemptError> {
        if position < self.next_position {
            return Ok(false);
        }
        if position > self.next_position {
            // Events are missing: the next attempt resumes the stream at the first missing one.
            return Err(BROKEN);
        }
        if self.next_position == self.dispatch.position {
            self.report_start();
        }
        self.gap_meter.record_event();
        self.record_usage(data);
        // The data counts towards the memory of the process until the caller has taken it.
        let (hold, size) = (self.upstream.link.hold(), data.len() + CHUNK_COST);
        if !hold.grow(size) {
            return Err(self.full(size));
        }
        hold.queue(size);
        self.send_chunk(AnswerChunk::Event(position, data.into()))?;
        self.next_position = position.next();
        self.output += TokenCount::new(1);
        Ok(true)
    }

    fn report_start(&self) {
        let _ = self
            .decide
            .send(DecideMessage::Started(self.dispatch.attempt));
    }

    fn record_usage(&mut self, data: &str) {
        if !data.contains("\"usage\"") {
            return;
        }
        let frame = serde_json::from_str::<UsageFrame>(data).unwrap_or_default();
        if let Some(usage) = frame.usage {
            self.cached = TokenCount::new(usage.prompt_details.cached_tokens);
        }
    }

    fn send_chunk(&self, chunk: AnswerChunk) -> Result<(), AttemptError> {
        self.chunks
            .send(chunk)
            .map_err(|_| AttemptError::CallerDisconnected)
    }
}
