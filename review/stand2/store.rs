//! The platform's store: objects by kind and name, lists, watches and conditional writes.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Head, json, read_sized};

/// A running store.
#[derive(Clone)]
pub struct Store {
    address: SocketAddr,
    shared: Arc<(Mutex<Objects>, Condvar)>,
}

/// The objects, and every change in order.
#[derive(Default)]
struct Objects {
    revision: u64,
    objects: BTreeMap<(String, String), (u64, String)>,
    /// The revision, the kind, the object and whether it was removed.
    changes: Vec<(u64, String, String, bool)>,
}

impl Objects {
    fn put(&mut self, kind: &str, name: &str, spec: &str) -> String {
        self.revision += 1;
        let object = encode(name, self.revision, spec);
        let key = (kind.to_owned(), name.to_owned());
        self.objects.insert(key, (self.revision, spec.to_owned()));
        let change = (self.revision, kind.to_owned(), object.clone(), false);
        self.changes.push(change);
        object
    }

    fn remove(&mut self, kind: &str, name: &str) -> bool {
        let key = (kind.to_owned(), name.to_owned());
        let Some((_, spec)) = self.objects.remove(&key) else {
            return false;
        };
        self.revision += 1;
        let object = encode(name, self.revision, &spec);
        self.changes
            .push((self.revision, kind.to_owned(), object, true));
        true
    }

    fn list(&self, kind: &str) -> String {
        let items = self.objects.iter().filter(|((k, _), _)| k == kind);
        let items: Vec<_> = items.map(|((_, n), (r, s))| encode(n, *r, s)).collect();
        let (items, revision) = (items.join(","), self.revision);
        format!("{{\"items\":[{items}],\"has_more\":false,\"store_revision\":{revision}}}")
    }

    fn events(&self, kind: &str, after: u64) -> Vec<String> {
        let new = self
            .changes
            .iter()
            .filter(|(r, k, ..)| *r > after && k == kind);
        let event = |(_, _, object, removed): &(u64, String, String, bool)| {
            format!("{{\"object\":{object},\"removed\":{removed}}}")
        };
        new.map(event).collect()
    }
}

impl Store {
    /// Starts an empty store.
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let objects = Objects {
            revision: 10,
            ..Objects::default()
        };
        let store = Self {
            address: listener.local_addr()?,
            shared: Arc::new((Mutex::new(objects), Condvar::new())),
        };
        let server = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = server.clone();
                thread::spawn(move || store.serve(&stream));
            }
        });
        Ok(store)
    }

    /// Returns the store's address.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Writes an object.
    pub fn put(&self, kind: &str, name: &str, spec: &str) {
        self.shared.0.lock().unwrap().put(kind, name, spec);
        self.shared.1.notify_all();
    }

    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream);
        while let Some(head) = Head::read(&mut reader)? {
            let body = read_sized(&mut reader, head.length())?;
            let answer = self.answer(&head, &String::from_utf8_lossy(&body));
            (&mut &*stream).write_all(&answer)?;
            if head
                .get("connection")
                .is_some_and(|c| c.eq_ignore_ascii_case("close"))
            {
                break;
            }
        }
        Ok(())
    }

    fn answer(&self, head: &Head, body: &str) -> Vec<u8> {
        let (method, target) = head.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let mut parts = path.trim_start_matches("/objects/").split('/');
        let (kind, name) = (parts.next().unwrap_or(""), parts.next());
        let number = |key: &str| {
            let mut pairs = query.split('&').filter_map(|p| p.split_once('='));
            pairs
                .find(|(k, _)| *k == key)
                .and_then(|(_, v)| v.parse().ok())
        };
        match (method, name) {
            ("GET", None) => match number("watch") {
                Some(after) => self.watch(kind, after, number("wait_ms").unwrap_or(0)),
                None => json(200, &self.shared.0.lock().unwrap().list(kind)),
            },
            ("GET", Some(name)) => self.get(kind, name),
            ("POST", None) => self.write(kind, &member_text(body, "name"), body, true),
            ("PUT", Some(name)) => self.write(kind, name, body, false),
            ("DELETE", Some(name)) => {
                let removed = self.shared.0.lock().unwrap().remove(kind, name);
                self.shared.1.notify_all();
                json(if removed { 200 } else { 404 }, "{}")
            }
            _ => json(404, "{}"),
        }
    }

    fn get(&self, kind: &str, name: &str) -> Vec<u8> {
        let objects = self.shared.0.lock().unwrap();
        match objects.objects.get(&(kind.to_owned(), name.to_owned())) {
            Some((revision, spec)) => json(200, &encode(name, *revision, spec)),
            None => json(404, "{}"),
        }
    }

    fn write(&self, kind: &str, name: &str, body: &str, create: bool) -> Vec<u8> {
        let (metadata, spec) = body.split_once("\"spec\":").unwrap_or((body, "null}"));
        let spec = spec.strip_suffix('}').unwrap_or(spec);
        let expected: Option<u64> = member_number(metadata, "revision");
        let mut objects = self.shared.0.lock().unwrap();
        let known = objects
            .objects
            .get(&(kind.to_owned(), name.to_owned()))
            .cloned();
        let answer = match known {
            None if !create => return json(404, "{}"),
            Some((revision, old)) if create || expected.is_some_and(|e| e != revision) => {
                return json(409, &encode(name, revision, &old));
            }
            Some((revision, old)) if old == spec => {
                return json(200, &encode(name, revision, &old));
            }
            _ => objects.put(kind, name, spec),
        };
        drop(objects);
        self.shared.1.notify_all();
        json(if create { 201 } else { 200 }, &answer)
    }

    fn watch(&self, kind: &str, after: u64, wait_ms: u64) -> Vec<u8> {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        let mut objects = self.shared.0.lock().unwrap();
        loop {
            let events = objects.events(kind, after);
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), objects.revision);
                return json(
                    200,
                    &format!("{{\"events\":[{events}],\"store_revision\":{revision}}}"),
                );
            }
            objects = self.shared.1.wait_timeout(objects, left).unwrap().0;
        }
    }
}

fn encode(name: &str, revision: u64, spec: &str) -> String {
    format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{revision},\"created\":0,\"finalizers\":[],\"deletion_pending\":false}},\"spec\":{spec}}}"
    )
}

/// Returns the text of a member. The entries send names without escapes.
fn member_text(body: &str, key: &str) -> String {
    let value = body.split_once(&format!("\"{key}\":\""));
    let value = value.and_then(|(_, rest)| rest.split_once('"'));
    value.map(|(text, _)| text.to_owned()).unwrap_or_default()
}

fn member_number(body: &str, key: &str) -> Option<u64> {
    let (_, rest) = body.split_once(&format!("\"{key}\":"))?;
    let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
    digits.parse().ok()
}
