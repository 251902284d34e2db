//! A call to a backend server, made by a duty that waits for many of them at once.

use std::fmt::Display;
use std::net::SocketAddr;
use std::time::Duration;

use azureway_core::prelude::{Error, ErrorKind, Step};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::client::conn::http1;
use hyper::header::{HeaderValue, TRANSFER_ENCODING};
use hyper::http::request::Builder;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout_at};

use super::{CallAnswer, CallError};
use crate::memory::MemoryHold;

/// One call to a backend server, on a connection of its own.
#[derive(Debug)]
pub struct ServerCall {
    address: SocketAddr,
    request: Builder,
    body: Bytes,
    deadline: Instant,
}

/// The step that errors name.
const STEP: Step = Step::new("call server");
/// The largest answer body, in bytes. A report of a server's orders and runs has some kilobytes.
const MAX_BODY: usize = 1024 * 1024;
/// The memory that each byte of an answer counts for: the buffer of the body may be half empty.
const BODY_COST: usize = 2;

impl ServerCall {
    /// Creates a `GET` call, which ends `limit` from now, also if it is made later.
    pub fn get(address: SocketAddr, path: &str, limit: Duration) -> Self {
        Self::new(address, Request::get(path), Bytes::new(), limit)
    }

    /// Creates a `POST` call with a JSON body, which ends `limit` from now, also if it is made later.
    pub fn post_json(address: SocketAddr, path: &str, body: String, limit: Duration) -> Self {
        let request = Request::post(path).header("content-type", "application/json");
        Self::new(address, request, body.into(), limit)
    }

    fn new(address: SocketAddr, request: Builder, body: Bytes, limit: Duration) -> Self {
        let request = request.header("host", address.to_string());
        Self {
            address,
            request: request.header("connection", "close"),
            body,
            deadline: Instant::now() + limit,
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &str, value: &str) -> Self {
        self.request = self.request.header(name, value);
        self
    }

    /// Makes the call and reads the whole answer into memory that stays in `hold`.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the server may have received the call.
    ///
    /// # Panics
    ///
    /// Panics outside a runtime with sockets and timers.
    pub async fn run(self, hold: &MemoryHold) -> Result<CallAnswer, CallError> {
        let (address, deadline) = (self.address, self.deadline);
        let request = self.request.body(Full::new(self.body));
        let request = request.map_err(|e| not_sent(address, e))?;
        let stream = timeout_at(deadline, TcpStream::connect(address)).await;
        let stream = stream.map_err(|e| not_sent(address, e))?;
        let stream = stream.map_err(|e| not_sent(address, e))?;
        stream.set_nodelay(true).map_err(|e| not_sent(address, e))?;
        // A call that is given up must not arrive later, when a link that holds its bytes up recovers.
        let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        reset.map_err(|e| not_sent(address, e))?;
        // Other work of the thread may have held it up. Nothing is sent after the limit.
        if Instant::now() >= deadline {
            return Err(not_sent(address, "the time limit has passed"));
        }
        let answer = timeout_at(deadline, exchange(stream, request, hold)).await;
        let answer = answer.map_err(|e| unanswered(address, e))?;
        answer.map_err(|e| unanswered(address, e))
    }
}

/// Sends a request and reads the answer. The connection ends with the returned future.
async fn exchange(
    stream: TcpStream,
    request: Request<Full<Bytes>>,
    hold: &MemoryHold,
) -> Result<CallAnswer, String> {
    let opened = http1::handshake(TokioIo::new(stream)).await;
    let (mut sender, connection) = opened.map_err(|e| e.to_string())?;
    let answer = async {
        let response = sender.send_request(request).await;
        let response: Response<Incoming> = response.map_err(|e| e.to_string())?;
        check_head(&response)?;
        let status = response.status().as_u16();
        let body = read_body(response.into_body(), hold).await?;
        Ok(CallAnswer { status, body })
    };
    tokio::pin!(connection, answer);
    // The request is handed over before the connection is driven, so that it is sent at once.
    tokio::select! {
        biased;
        answer = &mut answer => answer,
        ended = &mut connection => {
            ended.map_err(|e| e.to_string())?;
            // The connection ends with the last byte, before the answer was taken up.
            answer.await
        }
    }
}

/// Reads the body of an answer. A call that waited for memory would hold up the others of its thread, so it
/// fails if there is none.
async fn read_body(body: Incoming, hold: &MemoryHold) -> Result<Vec<u8>, String> {
    let mut body = Limited::new(body, MAX_BODY);
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| e.to_string())?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if !hold.try_grow(data.len() * BODY_COST) {
            return Err(format!(
                "no room for an answer of over {} bytes",
                bytes.len()
            ));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(bytes)
}

/// Checks what the library leaves to its users: the range of the status and the transfer codings.
fn check_head(response: &Response<Incoming>) -> Result<(), String> {
    if !(200..600).contains(&response.status().as_u16()) {
        return Err(format!("the status {} is not valid", response.status()));
    }
    let mut codings = response.headers().get_all(TRANSFER_ENCODING).iter();
    let first = codings.next().map(HeaderValue::as_bytes);
    let known = first.is_none_or(|coding| coding.eq_ignore_ascii_case(b"chunked"));
    match known && codings.next().is_none() {
        true => Ok(()),
        false => Err("the transfer coding is not known".to_owned()),
    }
}

fn not_sent(address: SocketAddr, cause: impl Display) -> CallError {
    CallError::NotSent(error(address, cause))
}

fn unanswered(address: SocketAddr, cause: impl Display) -> CallError {
    CallError::Unanswered(error(address, cause))
}

fn error(address: SocketAddr, cause: impl Display) -> Error {
    Error::new(ErrorKind::Unavailable, STEP, cause.to_string()).with_peer(address)
}
