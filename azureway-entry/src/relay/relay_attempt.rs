//! One try at a backend server.

use std::io::{BufRead, BufReader, Read};
use std::sync::Arc;

use attohttpc::{Method, RequestBuilder, Response, ResponseReader};
use azureway_config::settings::Bounds;
use azureway_core::prelude::*;
use azureway_wire::chat::UsageFrame;
use azureway_wire::header;
use azureway_wire::sse::SseLine;
use flume::Sender;

use super::{AttemptError, GapMeter};
use crate::admit::UpstreamRequest;
use crate::caller::AnswerChunk;
use crate::decide::DecideMessage;

/// One try at a backend server: sends the request and passes the answer on.
#[derive(Debug)]
pub struct RelayAttempt {
    order: Dispatch,
    upstream: Arc<UpstreamRequest>,
    bounds: Bounds,
    chunks: Sender<AnswerChunk>,
    decide: Sender<DecideMessage>,
    pace: GapMeter,
    next: StreamPosition,
    cached: TokenCount,
    output: TokenCount,
    kept: Option<ShortAnswer>,
}

/// The bytes of a whole answer at most.
const WHOLE_MAX: u64 = 16 * 1024 * 1024;
/// The bytes of a line of a stream at most.
const LINE_MAX: u64 = 1024 * 1024;

impl RelayAttempt {
    /// Creates a try.
    pub fn new(
        order: Dispatch,
        upstream: Arc<UpstreamRequest>,
        bounds: Bounds,
        chunks: Sender<AnswerChunk>,
        decide: Sender<DecideMessage>,
        pace: GapMeter,
    ) -> Self {
        let next = order.position;
        let (cached, output) = (TokenCount::ZERO, TokenCount::ZERO);
        Self {
            order,
            upstream,
            bounds,
            chunks,
            decide,
            pace,
            next,
            cached,
            output,
            kept: None,
        }
    }

    /// Runs the try and reports how it ended.
    pub fn run(mut self) {
        let attempt = self.order.attempt;
        match self.serve() {
            Ok(()) => {
                let finish = Finish {
                    attempt,
                    cached: self.cached,
                    output: self.output,
                };
                let _ = self.decide.send(match self.kept {
                    Some(answer) => DecideMessage::Answered(finish, answer),
                    None => DecideMessage::Finished(finish),
                });
            }
            // The connection itself has reported that its caller is gone.
            Err(AttemptError::CallerDisconnected) => {}
            Err(AttemptError::Server(kind, sent)) => {
                let failure = Failure {
                    attempt,
                    kind,
                    sent,
                    position: self.next,
                };
                let _ = self.decide.send(DecideMessage::Failed(failure));
            }
        }
    }

    fn serve(&mut self) -> Result<(), AttemptError> {
        let answer = self
            .request()?
            .send()
            .map_err(|e| AttemptError::from_send(&e))?;
        match self.upstream.kind {
            ServiceKind::Plain => self.pass_whole(answer),
            ServiceKind::Model => match AttemptError::from_status(answer.status().as_u16()) {
                Some(error) => Err(error),
                None if answer.is_success() => self.pass_stream(answer),
                None => self.pass_whole(answer),
            },
        }
    }

    fn request(&self) -> Result<RequestBuilder<attohttpc::body::Bytes<Arc<[u8]>>>, AttemptError> {
        let faulty = AttemptError::Server(FailureKind::Faulty, SendState::Unsent);
        let method = Method::from_bytes(self.upstream.method.as_bytes()).map_err(|_| faulty)?;
        let url = format!("http://{}{}", self.order.address, self.upstream.path);
        let order = &self.order;
        let request = RequestBuilder::try_new(method, url).map_err(|_| faulty)?;
        let mut request = request
            .connect_timeout(self.bounds.connect)
            .read_timeout(self.bounds.gap)
            .follow_redirects(false)
            .proxy_settings(attohttpc::ProxySettings::builder().build())
            .try_header("content-type", self.upstream.content_type.as_ref())
            .map_err(|_| faulty)?
            .header(header::ATTEMPT, order.attempt.to_string())
            .header(header::RANK, order.rank.as_str())
            .header(header::SALT, order.salt.number().to_string())
            .header(header::WEIGHTS, order.weights.to_string())
            .header(header::RESUME, order.position.to_string());
        if let Some(incarnation) = order.incarnation {
            request = request.header(header::INCARNATION, incarnation.to_string());
        }
        let account = self.upstream.account.as_str();
        if is_header_text(account) {
            request = request
                .try_header(header::ACCOUNT, account)
                .map_err(|_| faulty)?;
        }
        if let Some(key) = &self.upstream.idempotency_key {
            request = request
                .try_header(header::IDEMPOTENCY_KEY, key.as_str())
                .map_err(|_| faulty)?;
        }
        Ok(request.bytes(Arc::clone(&self.upstream.body)))
    }

    fn pass_whole(&mut self, answer: Response) -> Result<(), AttemptError> {
        let (status, headers, reader) = answer.split();
        let media = headers.get("content-type").and_then(|v| v.to_str().ok());
        let media = media.unwrap_or("application/octet-stream");
        let mut body = Vec::new();
        let read = reader.take(WHOLE_MAX + 1).read_to_end(&mut body);
        read.map_err(|e| AttemptError::from_read(&e))?;
        let length = headers.get("content-length").and_then(|v| v.to_str().ok());
        let cut = length.is_some_and(|l| l.parse() != Ok(body.len()));
        if cut || body.len() as u64 > WHOLE_MAX {
            return Err(AttemptError::Server(
                FailureKind::Broken,
                SendState::MaybeRun,
            ));
        }
        self.note_start();
        self.kept = self.keep(status.as_u16(), media, &body);
        // The server has run the request to its end, also if the caller is gone.
        let _ = self.pass(AnswerChunk::Complete(status.as_u16(), media.into(), body));
        Ok(())
    }

    /// Returns the answer if its claim may keep it.
    fn keep(&self, status: u16, media: &str, body: &[u8]) -> Option<ShortAnswer> {
        self.upstream.idempotency_key.as_ref()?;
        ShortAnswer::new(status, media, body)
    }

    fn pass_stream(&mut self, answer: Response) -> Result<(), AttemptError> {
        let (_, headers, reader) = answer.split();
        // An answer to another request must not reach this caller.
        if headers
            .get(header::ATTEMPT)
            .is_some_and(|a| *a != self.order.attempt.to_string())
        {
            return Err(AttemptError::Server(
                FailureKind::Faulty,
                SendState::MaybeRun,
            ));
        }
        let mut reader = BufReader::new(reader);
        let mut line = String::new();
        let mut position = self.next;
        let mut data = String::new();
        loop {
            read_line(&mut reader, &mut line)?;
            if self.chunks.is_disconnected() {
                return Err(AttemptError::CallerDisconnected);
            }
            match SseLine::parse(&line) {
                SseLine::Id(id) => position = StreamPosition::new(id),
                SseLine::Data(text) => data.push_str(text),
                SseLine::End if data.is_empty() => {}
                SseLine::End => {
                    self.event(position, &data)?;
                    if data == SseLine::DONE {
                        return self.pass(AnswerChunk::End);
                    }
                    data.clear();
                    position = self.next;
                }
                SseLine::Other => {}
            }
        }
    }

    fn event(&mut self, position: StreamPosition, data: &str) -> Result<(), AttemptError> {
        if position < self.next {
            return Ok(());
        }
        if position > self.next {
            // Events are missing: the stream is resumed where it stopped.
            return Err(AttemptError::Server(
                FailureKind::Broken,
                SendState::MaybeRun,
            ));
        }
        if self.next == self.order.position {
            self.note_start();
        }
        self.pace.tick();
        self.note_usage(data);
        self.pass(AnswerChunk::Event(position, data.into()))?;
        self.next = position.next();
        self.output += TokenCount::new(1);
        Ok(())
    }

    fn note_start(&self) {
        let _ = self.decide.send(DecideMessage::Started(self.order.attempt));
    }

    fn note_usage(&mut self, data: &str) {
        if !data.contains("\"usage\"") {
            return;
        }
        let frame = serde_json::from_str::<UsageFrame>(data).unwrap_or_default();
        if let Some(usage) = frame.usage {
            self.cached = TokenCount::new(usage.prompt_details.cached_tokens);
        }
    }

    fn pass(&self, chunk: AnswerChunk) -> Result<(), AttemptError> {
        self.chunks
            .send(chunk)
            .map_err(|_| AttemptError::CallerDisconnected)
    }
}

/// Reads one line. The end of the answer before its last event is a failure.
fn read_line(
    reader: &mut BufReader<ResponseReader>,
    line: &mut String,
) -> Result<(), AttemptError> {
    line.clear();
    let count = reader
        .take(LINE_MAX)
        .read_line(line)
        .map_err(|e| AttemptError::from_read(&e))?;
    if count == 0 || !line.ends_with('\n') {
        return Err(AttemptError::Server(
            FailureKind::Broken,
            SendState::MaybeRun,
        ));
    }
    Ok(())
}

/// Tells whether a name can be sent in a header. One that cannot is left out.
fn is_header_text(name: &str) -> bool {
    name.bytes().all(|b| (b' '..=b'~').contains(&b))
}
