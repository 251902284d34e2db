//! The machine is cut off for some seconds, and from then on it refuses what its clients ask for most.

use std::collections::HashMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, attempt_id, exchange, request};
use crate::entry::Entry;
use crate::http::Conn;
use crate::proxy;
use crate::record::Record;
use crate::store::Store;
use crate::{BROKEN, HELD, NOT_RUN};

const REPLICAS: usize = 3;
const SLOTS: u32 = 6;
const WORK: Duration = Duration::from_millis(100);
/// The displays, which all look up the same page, and the counters, which send orders.
const DISPLAYS: usize = 12;
const COUNTERS: usize = 2;
/// The cut: for 8 s at most.
const CUT_AT: Duration = Duration::from_secs(10);
const CUT: Duration = Duration::from_secs(5);
/// `recover_s` of the site.
const RECOVER: Duration = Duration::from_secs(12);
/// The time for which clients wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(3);
const RUN: Duration = Duration::from_secs(75);

/// The requests of a part of the run: how many were sent, and how many got a success.
type Counts = HashMap<&'static str, (u64, u64)>;

#[derive(Clone)]
struct Shared {
    record: Record,
    front: SocketAddr,
    start: Instant,
    stop: Arc<AtomicBool>,
    counts: Arc<Mutex<Counts>>,
}

fn serve(record: &Record, stream: TcpStream) -> io::Result<()> {
    let mut conn = Conn::new(stream);
    while let Some(head) = conn.head()? {
        let id = head
            .get("azureway-attempt-id")
            .unwrap_or_default()
            .to_owned();
        conn.body(&head)?;
        record.add(format_args!("replica: {id} runs"));
        thread::sleep(WORK);
        let body = format!("{{\"done\":\"{id}\"}}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAzureway-Attempt-Id: {id}\r\nAzureway-Response-Signature: s.{id}\r\n\
             Keep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        conn.send(answer.as_bytes())?;
    }
    Ok(())
}

/// Returns the part of the run in which a request is sent.
fn part(at: Duration) -> &'static str {
    if at < CUT_AT {
        "before"
    } else if at < CUT_AT + CUT + RECOVER {
        "meanwhile"
    } else {
        "after"
    }
}

/// Sends one request after the other, on a connection that is kept where it can be. A refused request is sent
/// again later as a new attempt.
fn send(shared: &Shared, method: &str, path: &str, size: usize, pause: Duration) {
    let mut kept: Option<Conn> = None;
    while !shared.stop.load(Ordering::Relaxed) {
        let (id, part) = (attempt_id(), part(shared.start.elapsed()));
        // Each order has a body of its own.
        let body = format!("{:<size$}", if size > 0 { id.as_str() } else { "" });
        let bytes = request(
            method,
            path,
            &id,
            TIMEOUT.as_millis() as u64,
            body.as_bytes(),
        );
        shared
            .record
            .add(format_args!("client: {id} {method} {path} sent"));
        let conn = kept
            .take()
            .map_or_else(|| client::connect(shared.front), Ok);
        let result = conn.and_then(|mut conn| {
            let (head, _) = exchange(&mut conn, &bytes)?;
            if !head.closes() {
                kept = Some(conn);
            }
            Ok(head)
        });
        let served = match result {
            Ok(head) => {
                let after = head.get("retry-after").unwrap_or("none").to_owned();
                shared.record.add(format_args!(
                    "client: {id} {method} {path} answered {}, retry after {after}",
                    head.status()
                ));
                if head.status() == 503 {
                    // Clients wait as they are told, up to a third of their time.
                    thread::sleep(TIMEOUT / 3);
                }
                head.status() == 200
            }
            Err(e) => {
                shared
                    .record
                    .add(format_args!("client: {id} {method} {path} failed: {e}"));
                false
            }
        };
        let mut counts = shared.counts.lock().unwrap();
        let (sent, successes) = counts.entry(part).or_default();
        *sent += 1;
        *successes += u64::from(served);
        drop(counts);
        thread::sleep(pause);
    }
}

pub fn run(record: &Record, temp: &Path, trouble: bool) -> i32 {
    let store = Store::new(record.clone());
    // The links of the machine to the store and to the replicas.
    let cut = Arc::new(AtomicBool::new(false));
    let address = proxy::link(store.serve().unwrap(), cut.clone()).unwrap();
    let routes = [("status", "safe", 2), ("order", "unsafe", 1)].map(|(name, kind, attempts)| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"review.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":1500,\"target_latency_ms\":200,\"priority\":2,\"service\":\"app\",\
             \"max_attempts\":{attempts},\"public\":false}}"
        )
    });
    store.put(
        "config",
        "main",
        &client::config(1, &routes, &[client::plain_service("app")]),
    );
    for number in 0..REPLICAS {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = proxy::link(listener.local_addr().unwrap(), cut.clone()).unwrap();
        let record = record.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let record = record.clone();
                thread::spawn(move || serve(&record, stream));
            }
        });
        let entry = client::replica("app", at, "kranj-a", SLOTS, client::unix_ms());
        store.put("servers", &format!("i-{number}"), &entry);
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
    let shared = Shared {
        record: record.clone(),
        front: entry.front,
        start: Instant::now(),
        stop: Arc::default(),
        counts: Arc::default(),
    };
    let mut clients = Vec::new();
    for number in 0..DISPLAYS {
        let shared = shared.clone();
        // The displays do not keep step with one another.
        let pause = Duration::from_millis(60 + 7 * number as u64);
        clients.push(thread::spawn(move || {
            send(&shared, "GET", "/status/board", 0, pause)
        }));
    }
    for _ in 0..COUNTERS {
        let shared = shared.clone();
        clients.push(thread::spawn(move || {
            send(&shared, "POST", "/order/new", 600, Duration::from_secs(1))
        }));
    }
    thread::sleep(CUT_AT.saturating_sub(shared.start.elapsed()));
    if trouble {
        record.say("the machine is cut off");
        cut.store(true, Ordering::Relaxed);
        thread::sleep(CUT);
        cut.store(false, Ordering::Relaxed);
        record.say("the cut has healed");
    }
    thread::sleep(RUN.saturating_sub(shared.start.elapsed()));
    shared.stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| drop(c.join()));
    let counts = shared.counts.lock().unwrap();
    let count = |part: &str| counts.get(part).copied().unwrap_or_default();
    for part in ["before", "meanwhile", "after"] {
        let (sent, served) = count(part);
        record.say(format_args!("{part}: {served} of {sent} requests served"));
    }
    let (before, after) = (count("before"), count("after"));
    if before.0 == 0 || after.0 == 0 || before.1 * 4 < before.0 {
        return NOT_RUN;
    }
    if after.1 * 4 < after.0 { BROKEN } else { HELD }
}
