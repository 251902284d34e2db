//! Connections of one machine are reset, and another machine cuts the streams of its clients.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{self, KEY, attempt_id, exchange, request};
use crate::entry::Entry;
use crate::http::Conn;
use crate::record::Record;
use crate::store::Store;
use crate::{BROKEN, HELD, NOT_RUN, proxy};

const REPLICAS: usize = 4;
const SLOTS: u32 = 8;
/// The clients of each machine but the third, which has none: one machine in three has its connections reset, and
/// half of them, of 0.35 and 0.55 at most.
const CLIENTS: usize = 10;
/// The time until the first event of a stream, and between two events.
const FIRST: Duration = Duration::from_millis(1_500);
const NEXT: Duration = Duration::from_millis(100);
const EVENTS: u32 = 10;
const ROUNDS: usize = 2;
/// The rule counts more than this many lost requests.
const ALLOWED: usize = 3;

/// What a replica knows of a stream: whether it was asked for it, and whether the replica itself broke it off.
type Seen = Arc<Mutex<HashMap<String, &'static str>>>;

fn serve(record: &Record, seen: &Seen, stream: TcpStream) -> io::Result<()> {
    let mut conn = Conn::new(stream);
    while let Some(head) = conn.head()? {
        let id = head
            .get("azureway-attempt-id")
            .unwrap_or_default()
            .to_owned();
        conn.body(&head)?;
        let common = format!(
            "HTTP/1.1 200 OK\r\nAzureway-Attempt-Id: {id}\r\nAzureway-Response-Signature: s.{id}\r\n\
             Keep-Alive: timeout=5\r\n"
        );
        if head.word(1).starts_with("/status/") {
            conn.send(format!("{common}Content-Length: 2\r\n\r\nok").as_bytes())?;
            continue;
        }
        record.add(format_args!("replica: {id} arrives"));
        seen.lock().unwrap().insert(id.clone(), "arrived");
        let head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        conn.send(format!("{common}{head}").as_bytes())?;
        for number in 1..=EVENTS {
            thread::sleep(if number == 1 { FIRST } else { NEXT });
            let event = format!("id: {number}\ndata: {id}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            if let Err(e) = conn.send(chunk.as_bytes()) {
                record.add(format_args!("replica: {id} has lost its connection"));
                return Err(e);
            }
        }
        conn.send(b"0\r\n\r\n")?;
        seen.lock().unwrap().insert(id, "complete");
    }
    Ok(())
}

/// Asks for a stream on a kept connection. Returns whether it ended without a complete answer.
fn ask(record: &Record, front: SocketAddr, name: &str, part: &str) -> Option<String> {
    let mut conn = client::connect(front).ok()?;
    let first = request("GET", "/status/a", &attempt_id(), 3_000, b"");
    exchange(&mut conn, &first)
        .ok()
        .filter(|(head, _)| head.status() == 200)?;
    let id = attempt_id();
    let text = format!(
        "POST /draft/a HTTP/1.1\r\nHost: review.example\r\nAzureway-Attempt-Id: {id}\r\n\
         Azureway-Token-Usage: 1460,10\r\nAzureway-Prompt-Prefix: {part}:1200,{id}:250\r\n\
         Azureway-Deadline-Ms: 15000\r\nAuthorization: Token {KEY}\r\nContent-Length: 16\r\n\r\n{id}"
    );
    record.add(format_args!("client of {name}: {id} with part {part} sent"));
    let (status, error) = match conn.send(text.as_bytes()).and_then(|()| conn.head()) {
        Ok(Some(head)) => (head.status(), conn.body(&head).err()),
        Ok(None) => (0, Some(io::ErrorKind::UnexpectedEof.into())),
        Err(e) => (0, Some(e)),
    };
    let end = error
        .as_ref()
        .map_or("complete".to_owned(), |e| format!("cut: {e}"));
    record.add(format_args!(
        "client of {name}: {id} with part {part}: status {status}, {end}"
    ));
    error.map(|_| id)
}

pub fn run(record: &Record, temp: &Path, trouble: bool) -> i32 {
    let store = Store::new(record.clone());
    let routes = [("status", "safe"), ("draft", "streaming")].map(|(name, kind)| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"review.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":15000,\"target_latency_ms\":1500,\"priority\":0,\"service\":\"app\",\
             \"max_attempts\":1,\"public\":false,\"resumable\":false,\"gap_target_ms\":400}}"
        )
    });
    store.put(
        "config",
        "main",
        &client::config(1, &routes, &[client::plain_service("app")]),
    );
    let (seen, cut): (Seen, _) = (Arc::default(), Arc::new(AtomicBool::new(false)));
    let mut links = Vec::new();
    for number in 0..REPLICAS {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let (record, seen) = (record.clone(), seen.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, seen) = (record.clone(), seen.clone());
                thread::spawn(move || serve(&record, &seen, stream));
            }
        });
        let link = proxy::shaky_link(at, cut.clone()).unwrap();
        links.push((at.to_string(), link.to_string()));
        let entry = client::replica("app", at, "kranj-a", SLOTS, client::unix_ms());
        store.put("servers", &format!("i-{number}"), &entry);
    }
    // The first machine reaches the replicas over links of its own.
    let stores = [
        store.view(links).serve().unwrap(),
        store.serve().unwrap(),
        store.serve().unwrap(),
    ];
    let entries = ["front-1", "front-2", "front-3"].into_iter().zip(stores);
    let entries = entries.map(|(node, store)| {
        Entry::start(temp, node, "kranj-a", &[("kranj-a", "gorenjska")], store)
    });
    let entries: Vec<_> = entries.collect();
    if !entries.iter().all(Entry::wait_ready) {
        return NOT_RUN;
    }
    // The machines learn of each other.
    thread::sleep(Duration::from_secs(8));
    let mut lost = Vec::new();
    for round in 0..ROUNDS {
        // A text that nobody has asked about yet.
        let part = format!("5c1e07a{round}");
        let clients = entries
            .iter()
            .take(2)
            .flat_map(|e| [e.front; CLIENTS])
            .enumerate();
        let clients: Vec<_> = clients
            .map(|(number, front)| {
                let (record, part) = (record.clone(), part.clone());
                let second = number >= CLIENTS;
                let name = if second { "front-2" } else { "front-1" };
                (
                    second,
                    thread::spawn(move || ask(&record, front, name, &part)),
                )
            })
            .collect();
        thread::sleep(Duration::from_millis(700));
        if trouble {
            record.add("half of the connections of front-1 to the replicas are reset");
            cut.store(true, Ordering::Relaxed);
            thread::sleep(Duration::from_millis(50));
            cut.store(false, Ordering::Relaxed);
        }
        for (second, client) in clients {
            let cut = client.join().ok().flatten();
            lost.extend(cut.filter(|id| second && seen.lock().unwrap().contains_key(id)));
        }
        record.say(format_args!(
            "round {round}: {} streams of front-2 cut so far",
            lost.len()
        ));
        thread::sleep(Duration::from_secs(4));
    }
    for id in &lost {
        record.add(format_args!(
            "LOST: {id} was passed on by front-2, and its connection closed without an answer"
        ));
    }
    record.say(format_args!(
        "requests that front-2 passed on to sound replicas and cut: {}",
        lost.len()
    ));
    if lost.len() > ALLOWED { BROKEN } else { HELD }
}
