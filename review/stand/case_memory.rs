//! Many users send long requests at once, and the process grows beyond the memory of its machine.

use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, attempt_id, exchange, request};
use crate::entry::Entry;
use crate::http::Conn;
use crate::record::Record;
use crate::store::Store;
use crate::{BROKEN, HELD, NOT_RUN};

const REPLICAS: usize = 9;
const SLOTS: u32 = 64;
/// The memory of a machine, in KB.
const MEMORY_KB: u64 = 110 * 1024;
/// The clients that send long requests, usually and in a burst of 2.5 times the traffic.
const USUAL: usize = 180;
const BURST: usize = 450;
/// The burst lasts for 7 s and comes each 12 s.
const LASTS: Duration = Duration::from_millis(7_000);
const PERIOD: Duration = Duration::from_millis(12_000);
/// The clients that send short requests.
const SHORT: usize = 40;
/// The size of a long request: `max_body_bytes` is 4,194,304.
const LONG_SIZE: usize = 110_000;
const LONG_WORK: Duration = Duration::from_millis(4_000);
const SHORT_WORK: Duration = Duration::from_millis(60);
const RUN: Duration = Duration::from_secs(45);
/// The rule counts more than this many lost requests.
const ALLOWED: usize = 3;

#[derive(Clone)]
struct Shared {
    record: Record,
    front: SocketAddr,
    stop: Arc<AtomicBool>,
    arrived: Arc<Mutex<HashSet<String>>>,
    cut: Arc<Mutex<Vec<(String, &'static str)>>>,
    answered: Arc<Mutex<HashMap<(&'static str, u16), u64>>>,
}

fn serve(record: &Record, arrived: &Mutex<HashSet<String>>, stream: TcpStream) -> io::Result<()> {
    let mut conn = Conn::new(stream);
    while let Some(head) = conn.head()? {
        let id = head
            .get("azureway-attempt-id")
            .unwrap_or_default()
            .to_owned();
        conn.body(&head)?;
        arrived.lock().unwrap().insert(id.clone());
        record.add(format_args!("replica: {id} runs"));
        thread::sleep(if head.length() > 100_000 {
            LONG_WORK
        } else {
            SHORT_WORK
        });
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

/// Sends one request after the other on one connection, while `active` holds.
fn send(shared: &Shared, path: &'static str, size: usize, active: impl Fn() -> bool) {
    let mut kept: Option<Conn> = None;
    let body = vec![b'x'; size];
    while !shared.stop.load(Ordering::Relaxed) {
        if !active() {
            thread::sleep(Duration::from_millis(50));
            continue;
        }
        let id = attempt_id();
        let bytes = request("POST", path, &id, 5_000, &body);
        let was_kept = kept.is_some();
        shared.record.add(format_args!("client: {id} {path} sent"));
        let conn = kept
            .take()
            .map_or_else(|| client::connect(shared.front), Ok);
        let Ok(mut conn) = conn else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        match exchange(&mut conn, &bytes) {
            Ok((head, _)) => {
                shared.record.add(format_args!(
                    "client: {id} {path} answered {}",
                    head.status()
                ));
                *shared
                    .answered
                    .lock()
                    .unwrap()
                    .entry((path, head.status()))
                    .or_default() += 1;
                if !head.closes() {
                    kept = Some(conn);
                }
            }
            Err(e) => {
                shared.record.add(format_args!(
                    "client: {id} {path} kept={was_kept} ended without an answer: {e}"
                ));
                if was_kept {
                    shared.cut.lock().unwrap().push((id, path));
                }
            }
        }
        thread::sleep(Duration::from_millis(40));
    }
}

/// Returns the memory of a process that is no file's, in KB.
fn memory_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("RssAnon:"));
    let number = line.and_then(|l| l.trim().split(' ').next()?.parse().ok());
    number.unwrap_or(0)
}

pub fn run(record: &Record, temp: &Path, trouble: bool) -> i32 {
    let store = Store::new(record.clone());
    let address = store.serve().unwrap();
    let routes = [("order", 1_500), ("notes", 5_000)].map(|(name, timeout)| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"review.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"unsafe\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":400,\"priority\":2,\"service\":\"app\",\
             \"max_attempts\":1,\"public\":false}}"
        )
    });
    store.put(
        "config",
        "main",
        &client::config(1, &routes, &[client::plain_service("app")]),
    );
    let arrived: Arc<Mutex<HashSet<String>>> = Arc::default();
    for number in 0..REPLICAS {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let (record, arrived) = (record.clone(), arrived.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (record, arrived) = (record.clone(), arrived.clone());
                thread::spawn(move || serve(&record, &arrived, stream));
            }
        });
        let entry = client::replica("app", at, "kranj-a", SLOTS, client::unix_ms());
        store.put("servers", &format!("i-{number}"), &entry);
    }
    let mut entry = Entry::start(
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
        stop: Arc::default(),
        arrived,
        cut: Arc::default(),
        answered: Arc::default(),
    };
    let start = Instant::now();
    let bursts = move || {
        trouble && start.elapsed().as_millis() % PERIOD.as_millis() >= (PERIOD - LASTS).as_millis()
    };
    let mut clients = Vec::new();
    for _ in 0..SHORT {
        let shared = shared.clone();
        clients.push(thread::spawn(move || {
            send(&shared, "/order/a", 600, || true)
        }));
    }
    for number in 0..BURST {
        let shared = shared.clone();
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(8 * number as u64));
            send(&shared, "/notes/a", LONG_SIZE, move || {
                number < USUAL || bursts()
            });
        }));
    }
    // The platform kills a process that exceeds the memory of its machine, and starts it again.
    let (mut kills, peak) = (0, AtomicU64::new(0));
    while start.elapsed() < RUN {
        let used = memory_kb(entry.child.id());
        peak.fetch_max(used, Ordering::Relaxed);
        if used > MEMORY_KB {
            record.say(format_args!(
                "the process has {used} KB, more than {MEMORY_KB} KB, and is killed"
            ));
            kills += 1;
            let _ = entry.child.kill();
            let _ = entry.child.wait();
            thread::sleep(Duration::from_millis(500));
            entry.restart();
            entry.wait_ready();
        }
        thread::sleep(Duration::from_millis(10));
    }
    shared.stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| drop(c.join()));
    let mut answered: Vec<_> = shared
        .answered
        .lock()
        .unwrap()
        .clone()
        .into_iter()
        .collect();
    answered.sort();
    for ((path, status), count) in answered {
        record.say(format_args!("{path} answered {status}: {count}"));
    }
    record.say(format_args!(
        "most memory: {} KB; killed {kills} times",
        peak.load(Ordering::Relaxed)
    ));
    let arrived = shared.arrived.lock().unwrap();
    let cut = shared.cut.lock().unwrap();
    let lost: Vec<_> = cut.iter().filter(|(id, _)| arrived.contains(id)).collect();
    for (id, path) in &lost {
        record.add(format_args!(
            "LOST: {id} {path} was passed on, and its connection closed without an answer"
        ));
    }
    record.say(format_args!(
        "requests passed on whose kept connection ended without an answer: {}",
        lost.len()
    ));
    if lost.len() > ALLOWED { BROKEN } else { HELD }
}
