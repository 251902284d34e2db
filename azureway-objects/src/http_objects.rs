//! The HTTP client of the platform's object API, which works with every codec.

use std::net::SocketAddr;
use std::time::Duration;

use azureway_core::prelude::{Error, ErrorKind, Step};
use azureway_wire::object::{ObjectBody, ObjectList};
use minreq::{Method, Request, Response};

use super::{CallCounter, ObjectApi, ObjectCall, ObjectCodec, PlainCodec, Put};

/// A client of the object API over HTTP, with the encoding `F`. Each call opens its own connection.
#[derive(Clone, Debug)]
pub struct HttpObjects<F = PlainCodec> {
    codec: F,
    address: SocketAddr,
    /// The timeout of a call, in seconds.
    timeout: u64,
    calls: CallCounter,
}

/// The default timeout of a call, in seconds.
const DEFAULT_TIMEOUT: u64 = 2;

impl HttpObjects {
    /// Creates a client of the platform at `address` with [`PlainCodec`] and a timeout of 2 s a
    /// call.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_codec(address, PlainCodec)
    }
}

impl<F: ObjectCodec> HttpObjects<F> {
    /// Creates a client of the platform at `address` with `codec` and a timeout of 2 s a call.
    pub fn with_codec(address: SocketAddr, codec: F) -> Self {
        Self {
            codec,
            address,
            timeout: DEFAULT_TIMEOUT,
            calls: CallCounter::new(),
        }
    }

    /// Sets the timeout of a call, in seconds. The wait of a watch is added to it.
    #[must_use]
    pub const fn with_timeout(mut self, seconds: u64) -> Self {
        self.timeout = seconds;
        self
    }

    /// Returns the counter of calls, which clones of this client share.
    pub const fn calls(&self) -> &CallCounter {
        &self.calls
    }

    fn send(&self, step: Step, call: ObjectCall, wait: Duration) -> Result<Response, Error> {
        self.calls.add();
        let url = format!("http://{}/{}", self.address, call.path);
        // The platform need not keep the connection open. A connection that it closes without an
        // answer shows at once that the answer is lost, before the timeout.
        let request = Request::new(method(call.method), url).with_header("connection", "close");
        let request = match call.body {
            Some(body) => request
                .with_header("content-type", F::CONTENT_TYPE)
                .with_body(body),
            None => request,
        };
        let answer = request.with_timeout(self.timeout + wait.as_secs()).send();
        let answer = answer.map_err(|e| self.error(ErrorKind::Unavailable, step, e))?;
        match answer.status_code {
            200 | 201 | 404 => Ok(answer),
            409 => Err(self.error(ErrorKind::Conflict, step, "the object has another version")),
            429 => Err(self.error(ErrorKind::Limited, step, "too many calls")),
            500..=599 => Err(self.error(ErrorKind::Unavailable, step, answer.status_code)),
            status => Err(self.error(ErrorKind::Protocol, step, status)),
        }
    }

    fn error(&self, kind: ErrorKind, step: Step, detail: impl std::fmt::Display) -> Error {
        Error::new(kind, step, detail).with_peer(format_args!("platform {}", self.address))
    }

    fn check_decoded<T>(
        &self,
        step: Step,
        decoded: Result<T, serde_json::Error>,
    ) -> Result<T, Error> {
        decoded.map_err(|e| self.error(ErrorKind::Protocol, step, e))
    }
}

impl<F: ObjectCodec> ObjectApi for HttpObjects<F> {
    fn get(&self, kind: &str, name: &str) -> Result<Option<ObjectBody>, Error> {
        const STEP: Step = Step::new("get object");
        let answer = self.send(STEP, self.codec.get(kind, name), Duration::ZERO)?;
        if answer.status_code == 404 {
            return Ok(None);
        }
        let object = self.codec.read_object(answer.as_bytes());
        self.check_decoded(STEP, object).map(Some)
    }

    fn list(&self, kind: &str) -> Result<ObjectList, Error> {
        const STEP: Step = Step::new("list objects");
        let mut all = ObjectList::default();
        loop {
            let after = all.objects.last().map(|o| o.name.as_str());
            let call = self.codec.list(kind, after);
            let answer = self.send(STEP, call, Duration::ZERO)?;
            let (page, more) = self.check_decoded(STEP, self.codec.read_list(answer.as_bytes()))?;
            // The list has the version of its first page, so that a watch from there returns the
            // changes made while the other pages were read.
            if all.objects.is_empty() {
                all.version = page.version;
            }
            let is_empty = page.objects.is_empty();
            all.objects.extend(page.objects);
            if !more || is_empty {
                return Ok(all);
            }
        }
    }

    fn put(&self, put: &Put<'_>) -> Result<u64, Error> {
        const STEP: Step = Step::new("put object");
        let answer = self.send(STEP, self.codec.put(put), Duration::ZERO)?;
        if answer.status_code == 404 {
            return Err(self.error(ErrorKind::Conflict, STEP, "the object does not exist"));
        }
        let object = self.codec.read_object(answer.as_bytes());
        Ok(self.check_decoded(STEP, object)?.version)
    }

    fn delete(&self, kind: &str, name: &str, expected: u64) -> Result<(), Error> {
        const STEP: Step = Step::new("delete object");
        let call = self.codec.delete(kind, name, expected);
        let answer = self.send(STEP, call, Duration::ZERO)?;
        match answer.status_code {
            404 => Err(self.error(ErrorKind::Conflict, STEP, "the object does not exist")),
            _ => Ok(()),
        }
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Result<ObjectList, Error> {
        const STEP: Step = Step::new("watch objects");
        let answer = self.send(STEP, self.codec.watch(kind, after, wait), wait)?;
        self.check_decoded(STEP, self.codec.read_changes(answer.as_bytes()))
    }
}

fn method(name: &str) -> Method {
    match name {
        "GET" => Method::Get,
        "PUT" => Method::Put,
        "POST" => Method::Post,
        "DELETE" => Method::Delete,
        other => Method::Custom(other.to_owned()),
    }
}
