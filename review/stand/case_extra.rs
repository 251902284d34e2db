//! A replica sends a second answer late, on a connection on which it then rejects a long request early.

use std::collections::HashMap;
use std::io;
use std::net::TcpStream;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{self, attempt_id, exchange, request};
use crate::entry::Entry;
use crate::http::{Conn, Head};
use crate::record::Record;
use crate::store::Store;
use crate::{BROKEN, HELD, NOT_RUN, socket};

/// The replicas of the service, and how many of them the disturbance affects: 0.6 of them at most.
const REPLICAS: usize = 5;
const AFFECTED: usize = 3;
/// One in so many answers is sent a second time: a share of 0.03 at most.
const EXTRA_EVERY: u32 = 34;
/// The disturbance lasts for 5 s and comes each 6 s.
const LASTS: Duration = Duration::from_millis(5_000);
const PERIOD: Duration = Duration::from_millis(6_000);
/// The slots of a replica, and the room for long requests: it takes one at a time.
const SLOTS: u32 = 6;
const LONG: usize = 64 * 1024;
/// The size of a long request: the largest of the deployment's notes.
const LONG_SIZE: usize = 110_000;
const RUN: Duration = Duration::from_secs(100);

struct Replica {
    number: usize,
    record: Record,
    trouble: bool,
    start: Instant,
    answers: AtomicU32,
    running_long: AtomicU32,
    extras: Arc<AtomicU64>,
    /// The requests that ran, with how often they did.
    ran: Arc<Mutex<HashMap<String, u32>>>,
}

impl Replica {
    fn is_disturbed(&self) -> bool {
        let phase = self.start.elapsed().as_millis() % PERIOD.as_millis();
        self.trouble && self.number < AFFECTED && phase < LASTS.as_millis()
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut conn = Conn::new(stream);
        // The second copy of the last answer, which comes where the next answer is expected.
        let mut extra: Option<Vec<u8>> = None;
        while let Some(head) = conn.head()? {
            if let Some(copy) = extra.take() {
                self.extras.fetch_add(1, Ordering::Relaxed);
                conn.send(&copy)?;
            }
            let id = head
                .get("azureway-attempt-id")
                .unwrap_or_default()
                .to_owned();
            let long = head.length() > LONG;
            if long && self.running_long.fetch_add(1, Ordering::AcqRel) > 0 {
                self.running_long.fetch_sub(1, Ordering::AcqRel);
                self.record.add(format_args!(
                    "replica {}: {id} rejected, its body unread",
                    self.number
                ));
                let text = format!(
                    "HTTP/1.1 503 Service Unavailable\r\nAzureway-Attempt-Id: {id}\r\n\
                     Azureway-Not-Executed: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                );
                return conn.send(text.as_bytes());
            }
            let answer = self.run(&mut conn, &head, &id, long);
            if long {
                self.running_long.fetch_sub(1, Ordering::AcqRel);
            }
            let answer = answer?;
            conn.send(&answer)?;
            let count = self.answers.fetch_add(1, Ordering::Relaxed);
            if self.is_disturbed() && count % EXTRA_EVERY == 0 {
                self.record.add(format_args!(
                    "replica {}: {id} will be answered again",
                    self.number
                ));
                extra = Some(answer);
            }
        }
        Ok(())
    }

    fn run(&self, conn: &mut Conn, head: &Head, id: &str, long: bool) -> io::Result<Vec<u8>> {
        conn.body(head)?;
        *self.ran.lock().unwrap().entry(id.to_owned()).or_default() += 1;
        self.record
            .add(format_args!("replica {}: {id} runs", self.number));
        thread::sleep(Duration::from_millis(if long { 150 } else { 30 }));
        let body = format!("{{\"done\":\"{id}\"}}");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAzureway-Attempt-Id: {id}\r\nAzureway-Response-Signature: {}.{id}\r\n\
             Content-Type: application/json\r\nKeep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{body}",
            self.number,
            body.len()
        );
        Ok(answer.into_bytes())
    }
}

/// What a client does again and again.
#[derive(Clone, Copy)]
enum Kind {
    Lookup,
    Order,
    LongOrder,
}

pub fn run(record: &Record, temp: &Path, trouble: bool) -> i32 {
    let store = Store::new(record.clone());
    let address = store.serve().unwrap();
    let routes = [("lookup", "safe", 2, 1500), ("order", "unsafe", 1, 3000)].map(|(name, kind, attempts, timeout)| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"review.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout},\"target_latency_ms\":200,\"priority\":2,\"service\":\"app\",\
             \"max_attempts\":{attempts},\"public\":false}}"
        )
    });
    store.put(
        "config",
        "main",
        &client::config(1, &routes, &[client::plain_service("app")]),
    );
    let ran = Arc::new(Mutex::new(HashMap::new()));
    let extras = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    for number in 0..REPLICAS {
        let (listener, at) = socket::listen().unwrap();
        let replica = Arc::new(Replica {
            number,
            record: record.clone(),
            trouble,
            start,
            answers: AtomicU32::new(0),
            running_long: AtomicU32::new(0),
            extras: extras.clone(),
            ran: ran.clone(),
        });
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let replica = replica.clone();
                thread::spawn(move || replica.serve(stream));
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
    let stop = Arc::new(AtomicBool::new(false));
    let foreign = Arc::new(Mutex::new(Vec::new()));
    let counts = Arc::new(Mutex::new(HashMap::new()));
    let kinds = [
        [Kind::Lookup; 8].as_slice(),
        [Kind::Order; 8].as_slice(),
        [Kind::LongOrder; 8].as_slice(),
    ]
    .concat();
    let clients = kinds.into_iter().map(|kind| {
        let (record, stop, front) = (record.clone(), stop.clone(), entry.front);
        let (foreign, counts) = (foreign.clone(), counts.clone());
        thread::spawn(move || {
            let mut kept = None;
            while !stop.load(Ordering::Relaxed) {
                let (method, path, size, pause) = match kind {
                    Kind::Lookup => ("GET", "/lookup/a", 0, 20),
                    Kind::Order => ("POST", "/order/a", 600, 20),
                    Kind::LongOrder => ("POST", "/order/long", LONG_SIZE, 100),
                };
                let id = attempt_id();
                let body = vec![b'x'; size];
                let bytes = request(method, path, &id, 3_000, &body);
                record.add(format_args!(
                    "client: {id} {method} {path} {size} bytes sent"
                ));
                let conn = kept.take().map_or_else(|| client::connect(front), Ok);
                let result = conn.and_then(|mut conn| {
                    let answer = exchange(&mut conn, &bytes)?;
                    Ok((conn, answer))
                });
                match result {
                    Err(e) => {
                        record.add(format_args!("client: {id} failed: {e}"));
                        *counts.lock().unwrap().entry((path, 0)).or_insert(0) += 1;
                    }
                    Ok((conn, (head, body))) => {
                        let status = head.status();
                        *counts.lock().unwrap().entry((path, status)).or_insert(0) += 1;
                        let named = head.get("azureway-attempt-id").unwrap_or("none").to_owned();
                        let text = String::from_utf8_lossy(&body).into_owned();
                        record.add(format_args!(
                            "client: {id} answered {status}, which names {named}: {text}"
                        ));
                        let own = format!("{{\"done\":\"{id}\"}}");
                        if (200..300).contains(&status) && (named != id || text != own) {
                            foreign.lock().unwrap().push((id, path, named));
                        }
                        if !head.closes() {
                            kept = Some(conn);
                        }
                    }
                }
                thread::sleep(Duration::from_millis(pause));
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(RUN);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| drop(c.join()));
    let mut counts: Vec<_> = counts.lock().unwrap().clone().into_iter().collect();
    counts.sort();
    for ((path, status), count) in counts {
        record.say(format_args!("{path} answered {status}: {count}"));
    }
    record.say(format_args!(
        "second answers sent: {}",
        extras.load(Ordering::Relaxed)
    ));
    let foreign = foreign.lock().unwrap();
    for (id, path, named) in foreign.iter() {
        let times = ran.lock().unwrap().get(id).copied().unwrap_or(0);
        record.say(format_args!(
            "MIXED: {id} ({path}) got the answer to {named}; it ran {times} times"
        ));
    }
    if foreign.is_empty() { HELD } else { BROKEN }
}
