//! A stand-in of the platform's metadata store: objects with revisions, conditions and watches.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Conn, Head};
use crate::json;
use crate::record::Record;

/// An object as the store keeps it.
#[derive(Clone)]
struct Object {
    revision: u64,
    created: u64,
    spec: String,
}

impl Object {
    fn json(&self, name: &str) -> String {
        format!(
            "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created\":{},\"finalizers\":[],\
             \"deletion_pending\":false}},\"spec\":{},\"status\":null}}",
            self.revision, self.created, self.spec
        )
    }
}

#[derive(Default)]
struct State {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    /// Every change: its revision, its kind, and the event.
    history: Vec<(u64, String, String)>,
}

/// The store. Clones share its state.
#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    /// The addresses that this view of the store tells differently.
    rewritten: Vec<(String, String)>,
    record: Record,
}

type Answer = (u16, String);

impl Store {
    /// Creates an empty store.
    pub fn new(record: Record) -> Self {
        Self {
            state: Arc::default(),
            rewritten: Vec::new(),
            record,
        }
    }

    /// Returns a view of the store for one machine, to which the first address of each pair is told as the
    /// second: that of a link of the machine's own.
    pub fn view(&self, rewritten: Vec<(String, String)>) -> Self {
        Self {
            rewritten,
            ..self.clone()
        }
    }

    /// Serves the store on a free port of the loopback address.
    pub fn serve(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.run(stream));
            }
        });
        Ok(address)
    }

    /// Writes an object as the operator or a replica does.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.record.add(format_args!("store: {kind}/{name} {spec}"));
        let mut state = self.state.0.lock().unwrap();
        write(&mut state, kind, name, spec);
        self.state.1.notify_all();
    }

    fn run(&self, stream: TcpStream) {
        let mut conn = Conn::new(stream);
        while let Ok(Some(head)) = conn.head() {
            let Ok(body) = conn.body(&head) else { return };
            let (status, text) = self.answer(&head, &String::from_utf8_lossy(&body));
            let rewrite = |text: String, (from, to): &(String, String)| text.replace(from, to);
            let text = self.rewritten.iter().fold(text, rewrite);
            let answer = format!(
                "HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {}\r\n\r\n{text}",
                text.len()
            );
            if conn.send(answer.as_bytes()).is_err() || head.closes() {
                return;
            }
        }
    }

    fn answer(&self, head: &Head, body: &str) -> Answer {
        let (path, query) = head.word(1).split_once('?').unwrap_or((head.word(1), ""));
        let mut parts = path.trim_start_matches('/').split('/').skip(1);
        let (kind, name) = (parts.next().unwrap_or_default(), parts.next());
        let query = |key: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs.find(|(k, _)| *k == key).map(|(_, v)| v.to_owned())
        };
        let number = |key: &str| query(key).and_then(|v| v.parse::<u64>().ok());
        match (head.word(0), name) {
            ("GET", Some(name)) => self.read(kind, name),
            ("GET", None) => match number("watch") {
                Some(after) => self.watch(kind, after, number("wait_ms").unwrap_or(0)),
                None => self.list(kind, &query("after").unwrap_or_default()),
            },
            ("POST", None) => self.change(kind, body, true),
            ("PUT", Some(_)) => self.change(kind, body, false),
            ("DELETE", Some(name)) => self.delete(kind, name, number("revision")),
            _ => (400, "{}".to_owned()),
        }
    }

    fn read(&self, kind: &str, name: &str) -> Answer {
        let state = self.state.0.lock().unwrap();
        let object = state.objects.get(&(kind.to_owned(), name.to_owned()));
        object.map_or((404, "{}".to_owned()), |o| (200, o.json(name)))
    }

    fn list(&self, kind: &str, after: &str) -> Answer {
        let state = self.state.0.lock().unwrap();
        let all = state.objects.iter();
        let items = all.filter(|((k, n), _)| k == kind && n.as_str() > after);
        let items: Vec<_> = items.map(|((_, n), o)| o.json(n)).collect();
        let text = format!(
            "{{\"items\":[{}],\"has_more\":false,\"store_revision\":{}}}",
            items.join(","),
            state.revision
        );
        (200, text)
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Answer {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state.0.lock().unwrap();
        loop {
            let news = state.history.iter();
            let news = news.filter(|(revision, k, _)| *revision > after && k == kind);
            let events: Vec<_> = news.map(|(_, _, event)| event.clone()).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let text = format!(
                    "{{\"events\":[{}],\"store_revision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, text);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn change(&self, kind: &str, body: &str, create: bool) -> Answer {
        let metadata = json::member(body, "metadata").unwrap_or("{}");
        let (Some(name), Some(spec)) = (json::string(metadata, "name"), json::member(body, "spec"))
        else {
            return (400, "{}".to_owned());
        };
        let expected = json::number(metadata, "revision");
        let mut state = self.state.0.lock().unwrap();
        let known = state.objects.get(&(kind.to_owned(), name.to_owned()));
        match known {
            Some(o) if create || expected.is_some_and(|e| e != o.revision) => {
                return (409, o.json(name));
            }
            None if !create => return (404, "{}".to_owned()),
            _ => {}
        }
        let object = write(&mut state, kind, name, spec);
        self.state.1.notify_all();
        (if create { 201 } else { 200 }, object)
    }

    fn delete(&self, kind: &str, name: &str, expected: Option<u64>) -> Answer {
        let mut state = self.state.0.lock().unwrap();
        match state.objects.get(&(kind.to_owned(), name.to_owned())) {
            None => (404, "{}".to_owned()),
            Some(o) if expected.is_some_and(|e| e != o.revision) => (409, o.json(name)),
            Some(_) => {
                erase(&mut state, kind, name);
                self.state.1.notify_all();
                (200, "{}".to_owned())
            }
        }
    }
}

/// Writes an object and returns it. A write that changes nothing makes no event.
fn write(state: &mut State, kind: &str, name: &str, spec: &str) -> String {
    let key = (kind.to_owned(), name.to_owned());
    let known = state.objects.get(&key);
    if let Some(same) = known.filter(|o| o.spec == spec) {
        return same.json(name);
    }
    let revision = state.revision + 1;
    let object = Object {
        revision,
        created: known.map_or(revision, |o| o.created),
        spec: spec.to_owned(),
    };
    let text = object.json(name);
    let event = format!("{{\"removed\":false,\"object\":{text}}}");
    state.history.push((revision, key.0.clone(), event));
    state.objects.insert(key, object);
    state.revision = revision;
    text
}

fn erase(state: &mut State, kind: &str, name: &str) {
    let key = (kind.to_owned(), name.to_owned());
    if let Some(mut object) = state.objects.remove(&key) {
        state.revision += 1;
        object.revision = state.revision;
        let event = format!("{{\"removed\":true,\"object\":{}}}", object.json(name));
        state.history.push((state.revision, key.0, event));
    }
}
