//! The HTTP client through which `status`, `explain` and `drain` reach an entry instance.

use std::net::SocketAddr;

use azureway_core::prelude::{Error, ErrorKind, Step};
use azureway_wire::admin::{DRAIN_PATH, EXPLAIN_PATH, ExplainBody, STATUS_PATH, StatusBody};
use minreq::{Request, Response};

/// An HTTP client of the operators' interface of one entry instance.
#[derive(Clone, Debug)]
pub(crate) struct EntryClient {
    address: SocketAddr,
    key: Option<String>,
}

/// The time limit for the answer of an entry instance, in seconds.
const TIMEOUT_SECS: u64 = 5;

impl EntryClient {
    pub(crate) const fn new(address: SocketAddr, key: Option<String>) -> Self {
        Self { address, key }
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    pub(crate) fn status(&self) -> Result<StatusBody, Error> {
        const STEP: Step = Step::new("read status");
        self.read(STEP, &self.send(STEP, minreq::get(self.url(STATUS_PATH)))?)
    }

    pub(crate) fn explain(
        &self,
        account: &str,
        rank: &str,
        body: &str,
    ) -> Result<ExplainBody, Error> {
        const STEP: Step = Step::new("explain");
        let url = format!("{}?account={account}&rank={rank}", self.url(EXPLAIN_PATH));
        self.read(STEP, &self.send(STEP, minreq::post(url).with_body(body))?)
    }

    pub(crate) fn drain(&self) -> Result<(), Error> {
        const STEP: Step = Step::new("drain");
        self.send(STEP, minreq::post(self.url(DRAIN_PATH)))
            .map(drop)
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    fn send(&self, step: Step, request: Request) -> Result<Response, Error> {
        let request = match &self.key {
            Some(key) => request.with_header("authorization", format!("Bearer {key}")),
            None => request,
        };
        let answer = request.with_timeout(TIMEOUT_SECS).send();
        let answer = answer.map_err(|e| self.error(ErrorKind::Unavailable, step, e))?;
        let text = || answer.as_str().unwrap_or_default().to_owned();
        match answer.status_code {
            200 => Ok(answer),
            400 | 404 => Err(self.error(ErrorKind::NotFound, step, text())),
            503 => Err(self.error(ErrorKind::Unavailable, step, text())),
            _ => Err(self.error(ErrorKind::Protocol, step, text())),
        }
    }

    fn read<T>(&self, step: Step, answer: &Response) -> Result<T, Error>
    where
        T: for<'a> serde::Deserialize<'a>,
    {
        let value = serde_json::from_slice(answer.as_bytes());
        value.map_err(|e| self.error(ErrorKind::Protocol, step, e))
    }

    fn error(&self, kind: ErrorKind, step: Step, detail: impl std::fmt::Display) -> Error {
        Error::new(kind, step, detail).with_peer(format_args!("entry {}", self.address))
    }
}
