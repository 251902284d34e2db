//! A stand-in of the platform's store: objects by kind and name, with lists, watches and conditional writes.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json;

#[derive(Clone)]
struct Object {
    name: String,
    revision: u64,
    created: u64,
    spec: String,
    status: String,
}

impl Object {
    fn encode(&self) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{}\",\"revision\":{},\"created\":{},\"finalizers\":[],\"deletion_pending\":false}},\"spec\":{},\"status\":{}}}",
            self.name, self.revision, self.created, self.spec, self.status
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// The changes, each with its revision, kind and encoded event.
    events: Vec<(u64, String, String)>,
}

/// The store. Clones share its objects.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// A page of a list ends at this many objects or bytes.
const PAGE_OBJECTS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

impl Store {
    /// Starts a store on a free loopback port.
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind the store");
        let store = Self {
            address: listener.local_addr().expect("address of the store"),
            shared: Arc::default(),
        };
        store.shared.0.lock().unwrap().revision = 100;
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let server = server.clone();
                thread::spawn(move || server.serve(stream));
            }
        });
        store
    }

    /// Writes an object without a condition, as the operator and the replicas do.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.write(kind, name, Some(spec), None);
        self.shared.1.notify_all();
    }

    /// Removes an object.
    pub fn remove(&self, kind: &str, name: &str) {
        let mut state = self.shared.0.lock().unwrap();
        state.remove(kind, name);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let (status, body) = self.answer(&request);
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let sent = writer.write_all(head.as_bytes());
            if sent
                .and_then(|()| writer.write_all(body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let query: BTreeMap<&str, &str> =
            query.split('&').filter_map(|p| p.split_once('=')).collect();
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let kind = parts.next().unwrap_or_default().to_owned();
        let name = parts.next().map(decode);
        let is_status = parts.next() == Some("status");
        let body = request.text();
        match (request.word(0), name) {
            ("GET", None) => match query.get("watch").and_then(|w| w.parse::<u64>().ok()) {
                Some(after) => {
                    let wait = query
                        .get("wait_ms")
                        .and_then(|w| w.parse().ok())
                        .unwrap_or(0);
                    self.watch(&kind, after, Duration::from_millis(wait))
                }
                None => self.list(&kind, query.get("after").map(|a| decode(a))),
            },
            ("GET", Some(name)) => {
                let state = self.shared.0.lock().unwrap();
                match state.objects.get(&(kind, name)) {
                    Some(object) => (200, object.encode()),
                    None => (404, "{}".to_owned()),
                }
            }
            ("POST", None) => {
                let metadata = json::member(&body, "metadata").unwrap_or("{}");
                let name = json::unquote(json::member(metadata, "name").unwrap_or_default());
                let mut state = self.shared.0.lock().unwrap();
                if let Some(known) = state.objects.get(&(kind.clone(), name.to_owned())) {
                    return (409, known.encode());
                }
                let spec = json::member(&body, "spec").unwrap_or("null");
                let answer = state.write(&kind, name, Some(spec), None);
                self.shared.1.notify_all();
                (201, answer)
            }
            ("PUT", Some(name)) => {
                let mut state = self.shared.0.lock().unwrap();
                let Some(known) = state.objects.get(&(kind.clone(), name.clone())) else {
                    return (404, "{}".to_owned());
                };
                let metadata = json::member(&body, "metadata").unwrap_or("{}");
                let expected = json::member(metadata, "revision").and_then(|r| r.parse().ok());
                if expected.is_some_and(|e: u64| e != known.revision) {
                    return (409, known.encode());
                }
                let (spec, status) = match is_status {
                    true => (None, json::member(&body, "status")),
                    false => (json::member(&body, "spec"), None),
                };
                let answer = state.write(&kind, &name, spec, status);
                self.shared.1.notify_all();
                (200, answer)
            }
            ("DELETE", Some(name)) => {
                let mut state = self.shared.0.lock().unwrap();
                let Some(known) = state.objects.get(&(kind.clone(), name.clone())) else {
                    return (404, "{}".to_owned());
                };
                let expected = query.get("revision").and_then(|r| r.parse::<u64>().ok());
                if expected.is_some_and(|e| e != known.revision) {
                    return (409, known.encode());
                }
                state.remove(&kind, &name);
                self.shared.1.notify_all();
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn list(&self, kind: &str, after: Option<String>) -> (u16, String) {
        let state = self.shared.0.lock().unwrap();
        let mut items: Vec<String> = Vec::new();
        let (mut bytes, mut more) = (0, false);
        for ((_, name), object) in state.objects.iter().filter(|((k, _), _)| k == kind) {
            if after.as_ref().is_some_and(|a| name <= a) {
                continue;
            }
            let text = object.encode();
            if !items.is_empty() && (items.len() >= PAGE_OBJECTS || bytes + text.len() > PAGE_BYTES)
            {
                more = true;
                break;
            }
            bytes += text.len();
            items.push(text);
        }
        let body = format!(
            "{{\"items\":[{}],\"has_more\":{more},\"store_revision\":{}}}",
            items.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> (u16, String) {
        let end = Instant::now() + wait;
        let mut state = self.shared.0.lock().unwrap();
        loop {
            let events = state
                .events
                .iter()
                .filter(|(r, k, _)| *r > after && k == kind);
            let events: Vec<&str> = events.map(|(.., e)| e.as_str()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = self.shared.1.wait_timeout(state, left).unwrap().0;
        }
    }
}

impl State {
    fn write(
        &mut self,
        kind: &str,
        name: &str,
        spec: Option<&str>,
        status: Option<&str>,
    ) -> String {
        self.revision += 1;
        let revision = self.revision;
        let object = self
            .objects
            .entry((kind.to_owned(), name.to_owned()))
            .or_insert(Object {
                name: name.to_owned(),
                revision,
                created: revision,
                spec: "null".to_owned(),
                status: "null".to_owned(),
            });
        object.revision = revision;
        object.spec = spec.map_or(object.spec.clone(), str::to_owned);
        object.status = status.map_or(object.status.clone(), str::to_owned);
        let text = object.encode();
        let event = format!("{{\"removed\":false,\"object\":{text}}}");
        self.events.push((revision, kind.to_owned(), event));
        text
    }

    fn remove(&mut self, kind: &str, name: &str) {
        if let Some(object) = self.objects.remove(&(kind.to_owned(), name.to_owned())) {
            self.revision += 1;
            let event = format!("{{\"removed\":true,\"object\":{}}}", object.encode());
            self.events.push((self.revision, kind.to_owned(), event));
        }
    }
}

fn decode(text: &str) -> String {
    let mut out = Vec::new();
    let mut bytes = text.bytes();
    while let Some(byte) = bytes.next() {
        if byte == b'%' {
            let hex: String = bytes.by_ref().take(2).map(char::from).collect();
            out.push(u8::from_str_radix(&hex, 16).unwrap_or(b'?'));
        } else {
            out.push(byte);
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}
