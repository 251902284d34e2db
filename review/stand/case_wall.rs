//! The operator isolates a tenant, and another tenant goes on using what its requests left in memory.

use std::collections::HashMap;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, attempt_id, exchange};
use crate::entry::Entry;
use crate::http::Conn;
use crate::record::Record;
use crate::store::Store;
use crate::{BROKEN, HELD, NOT_RUN};

const REPLICAS: usize = 3;
const SLOTS: u32 = 64;
/// When the operator changes the desired state, and from when on it is judged: `config_apply_ms` after the
/// acknowledgement, and a second more.
const CHANGE: Duration = Duration::from_secs(8);
const JUDGED: Duration = Duration::from_millis(11_500);
const RUN: Duration = Duration::from_secs(20);
/// When the clients of the second tenant begin. By then the requests of the first have made the shared parts.
const SECOND: Duration = Duration::from_secs(3);
const TENANTS: [(&str, &str); 2] = [("ana", "key-ana"), ("bor", "key-bor")];
/// The parts that requests of both tenants share.
const SHARED_PARTS: &str = "5c1e07a2:800,91bd3f06:410";

/// A model replica's memory: the parts under each text, and the tenant whose request made each.
type Memory = HashMap<String, HashMap<String, String>>;

#[derive(Clone)]
struct Replica {
    name: String,
    record: Record,
    memory: Arc<Mutex<Memory>>,
    /// Whether `ana` is isolated and that counts by now.
    isolated: Arc<AtomicBool>,
    broken: Arc<AtomicU64>,
}

impl Replica {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut conn = Conn::new(stream);
        while let Some(head) = conn.head()? {
            conn.body(&head)?;
            if head.word(1).starts_with("/kv-events") {
                thread::sleep(Duration::from_millis(800));
                json(
                    &mut conn,
                    "{\"boot_epoch\":1,\"next_page_token\":0,\"lost\":false,\"events\":[]}",
                )?;
                continue;
            }
            if head.word(1) == "/report" {
                let text = "{\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\
                            \"busy\":false,\"seq\":0,\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":90000,\"handles\":0}";
                json(&mut conn, text)?;
                continue;
            }
            let get = |name: &str| head.get(name).unwrap_or_default().to_owned();
            let (id, tenant) = (get("azureway-attempt-id"), get("azureway-tenant"));
            self.use_parts(
                &id,
                &tenant,
                &get("azureway-cache-salt"),
                &get("azureway-prompt-prefix"),
            );
            let mut text = format!(
                "HTTP/1.1 200 OK\r\nAzureway-Attempt-Id: {id}\r\nAzureway-Response-Signature: s.{id}\r\n\
                 Azureway-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            );
            for number in 1..=5 {
                let event = format!("id: {number}\ndata: {id}\n\n");
                text.push_str(&format!("{:x}\r\n{event}\r\n", event.len()));
            }
            text.push_str("0\r\n\r\n");
            thread::sleep(Duration::from_millis(20));
            conn.send(text.as_bytes())?;
        }
        Ok(())
    }

    /// Uses the parts that are kept under the text `salt`, up to the first that is not, and keeps the rest.
    fn use_parts(&self, id: &str, tenant: &str, salt: &str, prompt: &str) {
        let mut memory = self.memory.lock().unwrap();
        let kept = memory.entry(salt.to_owned()).or_default();
        let mut found = true;
        for part in prompt.split(',') {
            match kept.get(part).filter(|_| found) {
                Some(maker) => {
                    let foreign = maker != tenant && self.isolated.load(Ordering::Relaxed);
                    let word = if foreign { "WALL: " } else { "" };
                    self.record.add(format_args!(
                        "{word}{}: {id} of {tenant} uses part {part} made by {maker} under {salt}",
                        self.name
                    ));
                    self.broken.fetch_add(u64::from(foreign), Ordering::Relaxed);
                }
                None => {
                    found = false;
                    kept.insert(part.to_owned(), tenant.to_owned());
                    self.record.add(format_args!(
                        "{}: {id} of {tenant} makes part {part} under {salt}",
                        self.name
                    ));
                }
            }
        }
    }
}

fn json(conn: &mut Conn, text: &str) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        text.len()
    );
    conn.send(format!("{head}{text}").as_bytes())
}

fn config(version: u64, isolated: bool) -> String {
    let route = "{\"name\":\"r-draft\",\"host\":\"review.example\",\"path_prefix\":\"/draft/\",\"kind\":\"streaming\",\
                 \"timeout_ms\":5000,\"target_latency_ms\":400,\"priority\":0,\"service\":\"llm\",\"max_attempts\":2,\
                 \"public\":false,\"sticky\":true,\"resumable\":true,\"gap_target_ms\":400}";
    let service = "{\"name\":\"llm\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\",\
                   \"tls\":false,\"engine\":{\"slots\":64,\"kv_capacity_tokens\":101825,\"kv_token_bytes\":163840,\
                   \"link_mbps\":550000.0,\"max_inflight\":12,\"models\":[{\"name\":\"m\"}]}}";
    let tenants = TENANTS.map(|(name, key)| {
        let isolated = isolated && name == "ana";
        format!("{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"priority\":1,\"isolated\":{isolated}}}")
    });
    format!(
        "{{\"version\":{version},\"routes\":[{route}],\"services\":[{service}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
        tenants.join(",")
    )
}

pub fn run(record: &Record, temp: &Path, trouble: bool) -> i32 {
    let store = Store::new(record.clone());
    let address = store.serve().unwrap();
    store.put("config", "main", &config(1, false));
    store.put("versions", "m", "{\"model\":\"m\",\"version\":1}");
    let (isolated, broken) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    for number in 0..REPLICAS {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let replica = Replica {
            name: format!("i-{number}"),
            record: record.clone(),
            memory: Arc::default(),
            isolated: isolated.clone(),
            broken: broken.clone(),
        };
        let models =
            ",\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]}";
        let entry = client::replica("llm", at, "kranj-a", SLOTS, client::unix_ms());
        let entry = format!("{}{models}", entry.trim_end_matches('}'));
        store.put("servers", &replica.name, &entry);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = replica.clone();
                thread::spawn(move || replica.serve(stream));
            }
        });
    }
    let entry = Entry::start(
        temp,
        "front-1",
        "kranj-a",
        &[("kranj-a", "gorenjska")],
        address,
    );
    if !entry.wait_ready() {
        return NOT_RUN;
    }
    let start = Instant::now();
    let answered = Arc::new(AtomicU64::new(0));
    let clients = TENANTS.map(|(name, key)| {
        let (record, front, answered) = (record.clone(), entry.front, answered.clone());
        thread::spawn(move || {
            if name != "ana" {
                thread::sleep(SECOND);
            }
            while start.elapsed() < RUN {
                let id = attempt_id();
                let request = format!(
                    "POST /draft/a HTTP/1.1\r\nHost: review.example\r\nAzureway-Attempt-Id: {id}\r\n\
                     Azureway-Model: m\r\nAzureway-Token-Usage: 1460,5\r\n\
                     Azureway-Prompt-Prefix: {SHARED_PARTS},{id}:250\r\nAzureway-Deadline-Ms: 5000\r\n\
                     Authorization: Token {key}\r\nContent-Length: 5\r\n\r\nnotes"
                );
                record.add(format_args!("client {name}: {id} sent"));
                let result = client::connect(front).and_then(|mut c| exchange(&mut c, request.as_bytes()));
                match result {
                    Ok((head, _)) => {
                        record.add(format_args!("client {name}: {id} answered {}", head.status()));
                        answered.fetch_add(u64::from(head.status() == 200), Ordering::Relaxed);
                    }
                    Err(e) => record.add(format_args!("client {name}: {id} failed: {e}")),
                }
                thread::sleep(Duration::from_millis(100));
            }
        })
    });
    thread::sleep(CHANGE.saturating_sub(start.elapsed()));
    store.put("config", "main", &config(2, trouble));
    thread::sleep(JUDGED.saturating_sub(start.elapsed()));
    isolated.store(trouble, Ordering::Relaxed);
    clients.into_iter().for_each(|c| drop(c.join()));
    let broken = broken.load(Ordering::Relaxed);
    record.say(format_args!(
        "requests answered: {}",
        answered.load(Ordering::Relaxed)
    ));
    record.say(format_args!(
        "parts of an isolated tenant used by another, or the other way round: {broken}"
    ));
    if answered.load(Ordering::Relaxed) < 100 {
        return NOT_RUN;
    }
    if broken > 0 { BROKEN } else { HELD }
}
