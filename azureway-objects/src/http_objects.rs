//! The HTTP client of the platform's object API, which works with every codec.

use std::cell::Cell;
use std::io::{self, Read};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use attohttpc::header::HeaderMap;
use attohttpc::{Method, ProxySettings, RequestBuilder, Response};
use azureway_core::prelude::{Error, ErrorKind, Step, StoreEra};
use azureway_wire::object::{ObjectBody, ObjectList};

use super::{
    CallCounter, CallKind, ObjectAnswer, ObjectApi, ObjectCall, ObjectCodec, PlainCodec, Put,
};

/// A client of the object API over HTTP, with the encoding `F`. Each call opens its own connection.
///
/// Each clone tracks the store's era by itself, so that each caller learns of a restore.
#[derive(Clone, Debug)]
pub struct HttpObjects<F = PlainCodec> {
    codec: F,
    address: SocketAddr,
    /// The time for which the platform may be silent.
    timeout: Duration,
    /// The maximum size of the body of an answer, and of the values of a list, in bytes.
    max_body: usize,
    calls: CallCounter,
    /// The era of the last answer.
    era: Cell<Option<StoreEra>>,
}

/// The default time for which the platform may be silent.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// The time limit for the body of an answer. The largest values have a mebibyte, which takes about a
/// second on the slowest links (10 Mbit/s) if nothing else is sent there.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(10);
/// The default maximum size of the body of an answer, and of the values of a list, in bytes: several times the
/// largest page of a list.
const MAX_BODY_SIZE: usize = 16 * 1024 * 1024;
/// The size of the part of an unexpected answer that its error tells, in bytes.
const EXCERPT_SIZE: u64 = 200;
/// The size of the buffer for reads from an answer, in bytes.
const READ_SIZE: usize = 16 * 1024;

impl HttpObjects {
    /// Creates a client of the platform at `address` with [`PlainCodec`] and a timeout of 2 s.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_codec(address, PlainCodec)
    }
}

impl<F: ObjectCodec> HttpObjects<F> {
    /// Creates a client of the platform at `address` with `codec` and a timeout of 2 s.
    pub fn with_codec(address: SocketAddr, codec: F) -> Self {
        Self {
            codec,
            address,
            timeout: DEFAULT_TIMEOUT,
            max_body: MAX_BODY_SIZE,
            calls: CallCounter::new(),
            era: Cell::new(None),
        }
    }

    /// Sets the time, in seconds, for which the platform may be silent before a call fails. The wait
    /// of a watch is added to it. An answer that arrives slowly may take longer.
    #[must_use]
    pub const fn with_timeout(mut self, seconds: u64) -> Self {
        self.timeout = Duration::from_secs(seconds);
        self
    }

    /// Sets the maximum size of the body of an answer, in bytes. It is also that of the values of a list, whose
    /// largest ones are left out beyond it.
    #[must_use]
    pub const fn with_max_body(mut self, bytes: usize) -> Self {
        self.max_body = bytes;
        self
    }

    /// Returns the counter of calls, which clones of this client share.
    pub const fn calls(&self) -> &CallCounter {
        &self.calls
    }

    fn send(
        &self,
        step: Step,
        kind: CallKind,
        call: ObjectCall,
        wait: Duration,
    ) -> Result<ObjectAnswer, Error> {
        self.calls.add(kind);
        let url = format!("http://{}/{}", self.address, call.path);
        let method = Method::from_bytes(call.method.as_bytes());
        let method = method.map_err(|e| self.error(ErrorKind::Invalid, step, e))?;
        let invalid = |e: attohttpc::Error| self.error(ErrorKind::Invalid, step, e);
        // The platform need not keep the connection open. A connection that it closes without an
        // answer shows at once that the answer is lost, before the timeout.
        let request = RequestBuilder::try_new(method, url)
            .map_err(invalid)?
            .connect_timeout(self.timeout)
            .read_timeout(self.timeout + wait)
            .follow_redirects(false)
            .proxy_settings(ProxySettings::builder().build());
        let answer = match call.body {
            Some(body) => request
                .try_header("content-type", F::CONTENT_TYPE)
                .map_err(invalid)?
                .text(body)
                .send(),
            None => request.send(),
        };
        let answer = answer.map_err(|e| self.error(ErrorKind::Unavailable, step, e))?;
        self.check_era(step, answer.headers())?;
        match answer.status().as_u16() {
            status @ (200 | 201 | 404) => self.read(step, status, answer),
            409 => Err(self.error(ErrorKind::Conflict, step, "the object has another version")),
            429 => Err(self.error(ErrorKind::Limited, step, "too many calls")),
            status @ 500..=599 => Err(self.error(ErrorKind::Unavailable, step, status)),
            status => {
                let (_, _, reader) = answer.split();
                let detail = format!("{status}: {}", read_excerpt(reader));
                Err(self.error(ErrorKind::Protocol, step, detail))
            }
        }
    }

    /// Compares the era of an answer with that of the answer before it. Any other era counts as a
    /// restore, also an earlier one: an answer that reported a wrong era must not make the client
    /// reject all later ones.
    fn check_era(&self, step: Step, headers: &HeaderMap) -> Result<(), Error> {
        let Some(era) = read_era(headers, F::ERA_HEADER) else {
            return Ok(());
        };
        let known = self.era.get().unwrap_or(era);
        self.era.set(Some(era));
        self.calls.record_era(era);
        if era == known {
            return Ok(());
        }
        log::warn!(step = step.as_str(), era:% = era, known:% = known; "the platform was restored from a copy");
        Err(self.error(
            ErrorKind::Restored,
            step,
            format_args!("the era {era} began"),
        ))
    }

    fn read(&self, step: Step, status: u16, answer: Response) -> Result<ObjectAnswer, Error> {
        let (_, _, reader) = answer.split();
        // The platform is not asked for the same answer again: a list comes in pages.
        let kind = |e: &io::Error| match e.kind() {
            io::ErrorKind::FileTooLarge => ErrorKind::Protocol,
            _ => ErrorKind::Unavailable,
        };
        let body = read_body(reader, self.max_body);
        let body = body.map_err(|e| self.error(kind(&e), step, e))?;
        Ok(ObjectAnswer { status, body })
    }

    fn list_pages(&self, kind: &str, stale: bool) -> Result<ObjectList, Error> {
        const STEP: Step = Step::new("list objects");
        let mut all = ObjectList::default();
        loop {
            let after = all.objects.last().map(|o| o.name.as_str());
            let call = self.codec.list(kind, after, stale);
            let count_as = match stale {
                true => CallKind::ListStale,
                false => CallKind::List,
            };
            let answer = self.send(STEP, count_as, call, Duration::ZERO)?;
            let (page, more) = self.check_decoded(STEP, self.codec.read_list(&answer.body))?;
            // The list has the version of its first page, so that a watch from there returns the
            // changes made while the other pages were read.
            if all.objects.is_empty() {
                all.version = page.version;
            }
            let is_empty = page.objects.is_empty();
            let last = |list: &ObjectList| list.objects.last().map(|o| o.name.clone());
            if !is_empty && last(&page) == last(&all) {
                let detail = "a page of the list does not advance";
                return Err(self.error(ErrorKind::Protocol, STEP, detail));
            }
            all.objects.extend(page.objects);
            for (name, bytes) in all.drop_largest(self.max_body) {
                log::warn!(step = STEP.as_str(), kind = kind, name = name.as_str(), bytes = bytes; "a value has no room and is left out");
            }
            if !more || is_empty {
                return Ok(all);
            }
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
    fn era(&self) -> Option<StoreEra> {
        self.era.get()
    }

    fn get(&self, kind: &str, name: &str) -> Result<Option<ObjectBody>, Error> {
        const STEP: Step = Step::new("get object");
        let answer = self.send(
            STEP,
            CallKind::Get,
            self.codec.get(kind, name),
            Duration::ZERO,
        )?;
        if answer.status == 404 {
            return Ok(None);
        }
        let object = self.codec.read_object(&answer.body);
        self.check_decoded(STEP, object).map(Some)
    }

    fn list(&self, kind: &str) -> Result<ObjectList, Error> {
        self.list_pages(kind, false)
    }

    fn list_stale(&self, kind: &str) -> Result<ObjectList, Error> {
        self.list_pages(kind, true)
    }

    fn put(&self, put: &Put<'_>) -> Result<u64, Error> {
        const STEP: Step = Step::new("put object");
        let answer = self.send(STEP, CallKind::Put, self.codec.put(put), Duration::ZERO)?;
        if answer.status == 404 {
            return Err(self.error(ErrorKind::Conflict, STEP, "the object does not exist"));
        }
        let object = self.codec.read_object(&answer.body);
        Ok(self.check_decoded(STEP, object)?.version)
    }

    fn delete(&self, kind: &str, name: &str, expected: u64) -> Result<(), Error> {
        const STEP: Step = Step::new("delete object");
        let call = self.codec.delete(kind, name, expected);
        let answer = self.send(STEP, CallKind::Delete, call, Duration::ZERO)?;
        match answer.status {
            404 => Err(self.error(ErrorKind::Conflict, STEP, "the object does not exist")),
            _ => Ok(()),
        }
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> Result<ObjectList, Error> {
        const STEP: Step = Step::new("watch objects");
        let call = self.codec.watch(kind, after, wait);
        let answer = self.send(STEP, CallKind::Watch, call, wait)?;
        self.check_decoded(STEP, self.codec.read_changes(&answer.body))
    }
}

/// Returns the store's era, if an answer reports one.
fn read_era(headers: &HeaderMap, name: &str) -> Option<StoreEra> {
    let value = headers.get(name)?;
    let number = value
        .to_str()
        .ok()
        .and_then(|text| text.trim().parse().ok());
    let era = number.map(StoreEra::new).filter(|e| *e <= StoreEra::LAST);
    if era.is_none() {
        log::warn!(step = "read era", value:? = value; "the era of the platform cannot be read");
    }
    era
}

/// Returns the beginning of the body of an answer that nobody decodes.
fn read_excerpt(reader: impl Read) -> String {
    let mut text = Vec::new();
    // What cannot be read is left out.
    let _ = reader.take(EXCERPT_SIZE).read_to_end(&mut text);
    String::from_utf8_lossy(&text).into_owned()
}

/// Reads a body of at most `max` bytes within [`TRANSFER_TIMEOUT`].
fn read_body(mut reader: impl Read, max: usize) -> io::Result<Vec<u8>> {
    let deadline = Instant::now() + TRANSFER_TIMEOUT;
    let (mut body, mut buffer) = (Vec::new(), vec![0; READ_SIZE]);
    loop {
        let count = reader.read(&mut buffer)?;
        if count == 0 {
            return Ok(body);
        }
        if body.len() + count > max {
            let detail = "the answer is too large";
            return Err(io::Error::new(io::ErrorKind::FileTooLarge, detail));
        }
        body.extend_from_slice(&buffer[..count]);
        if Instant::now() > deadline {
            return Err(io::ErrorKind::TimedOut.into());
        }
    }
}
