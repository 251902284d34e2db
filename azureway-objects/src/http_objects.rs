//! The object API over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use azureway_core::prelude::{Error, ErrorKind, Step};
use azureway_wire::object::{ObjectBody, ObjectList};
use minreq::{Request, Response};

use super::{CallCounter, ObjectApi, Put};

/// The object API over HTTP. Each call takes a connection of its own.
#[derive(Clone, Debug)]
pub struct HttpObjects {
    address: SocketAddr,
    timeout: u64,
    calls: CallCounter,
}

/// The default limit of a call, in seconds.
const DEFAULT_TIMEOUT: u64 = 2;

impl HttpObjects {
    /// Creates a client of the platform at `address` with a limit of 2 s a call.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            timeout: DEFAULT_TIMEOUT,
            calls: CallCounter::new(),
        }
    }

    /// Sets the limit of a call, in seconds.
    #[must_use]
    pub const fn with_timeout(mut self, seconds: u64) -> Self {
        self.timeout = seconds;
        self
    }

    /// Returns the count of calls, which clones of this client share.
    pub const fn calls(&self) -> &CallCounter {
        &self.calls
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }

    fn send(&self, step: Step, request: Request, wait: Duration) -> Result<Response, Error> {
        self.calls.add();
        // The platform need not keep the connection, and one that it closes without an answer
        // shows at once that the answer is lost.
        let request = request.with_header("connection", "close");
        let answer = request.with_timeout(self.timeout + wait.as_secs()).send();
        let answer = answer.map_err(|e| self.error(ErrorKind::Unavailable, step, e))?;
        match answer.status_code {
            200 | 404 => Ok(answer),
            409 => Err(self.error(ErrorKind::Conflict, step, "the object has another version")),
            429 => Err(self.error(ErrorKind::Limited, step, "too many calls")),
            500..=599 => Err(self.error(ErrorKind::Unavailable, step, answer.status_code)),
            status => Err(self.error(ErrorKind::Protocol, step, status)),
        }
    }

    fn error(&self, kind: ErrorKind, step: Step, detail: impl std::fmt::Display) -> Error {
        Error::new(kind, step, detail).with_peer(format_args!("platform {}", self.address))
    }

    fn read<T>(&self, step: Step, answer: &Response) -> Result<T, Error>
    where
        T: for<'a> serde::Deserialize<'a>,
    {
        let value = serde_json::from_slice(answer.as_bytes());
        value.map_err(|e| self.error(ErrorKind::Protocol, step, e))
    }
}

impl ObjectApi for HttpObjects {
    fn get(&self, kind: &str, name: &str) -> Result<Option<ObjectBody>, Error> {
        const STEP: Step = Step::new("get object");
        let request = minreq::get(self.url(&format!("objects/{kind}/{name}")));
        let answer = self.send(STEP, request, Duration::ZERO)?;
        if answer.status_code == 404 {
            return Ok(None);
        }
        self.read(STEP, &answer).map(Some)
    }

    fn list(&self, kind: &str) -> Result<ObjectList, Error> {
        const STEP: Step = Step::new("list objects");
        let request = minreq::get(self.url(&format!("objects/{kind}")));
        let answer = self.send(STEP, request, Duration::ZERO)?;
        self.read(STEP, &answer)
    }

    fn put(&self, put: &Put<'_>) -> Result<u64, Error> {
        const STEP: Step = Step::new("put object");
        let path = format!(
            "objects/{}/{}?expected={}",
            put.kind, put.name, put.expected
        );
        let request = minreq::put(self.url(&path)).with_body(put.value);
        let answer = self.send(STEP, request, Duration::ZERO)?;
        let body: ObjectBody = self.read(STEP, &answer)?;
        Ok(body.version)
    }

    fn delete(&self, kind: &str, name: &str, expected: u64) -> Result<(), Error> {
        const STEP: Step = Step::new("delete object");
        let path = format!("objects/{kind}/{name}?expected={expected}");
        let request = minreq::delete(self.url(&path));
        let answer = self.send(STEP, request, Duration::ZERO)?;
        match answer.status_code {
            404 => Err(self.error(ErrorKind::Conflict, STEP, "the object does not exist")),
            _ => Ok(()),
        }
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Result<ObjectList, Error> {
        const STEP: Step = Step::new("watch objects");
        let path = format!("watch/{kind}?after={after}&wait_ms={}", wait.as_millis());
        let answer = self.send(STEP, minreq::get(self.url(&path)), wait)?;
        self.read(STEP, &answer)
    }
}
