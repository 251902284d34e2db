//! A replica rejects a request and sends the rejection a second time, in front of the answer to the next one.

use std::collections::HashMap;
use std::io;
use std::net::{TcpListener, TcpStream};
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

/// The replicas of the service, and how many of them the disturbance affects: 0.6 of them at most.
const REPLICAS: usize = 5;
const AFFECTED: usize = 3;
/// One in so many answers is sent a second time: a share of 0.03 at most.
const EXTRA_EVERY: u64 = 34;
/// The disturbance lasts for 5 s and comes each 6 s.
const LASTS: Duration = Duration::from_millis(5_000);
const PERIOD: Duration = Duration::from_millis(6_000);
const SLOTS: u32 = 6;
/// One request in so many finds its replica full with the requests of other machines.
const FULL_EVERY: u64 = 9;
const WORK: Duration = Duration::from_millis(30);
const CLIENTS: usize = 16;
const RUN: Duration = Duration::from_secs(80);

struct Replica {
    number: usize,
    record: Record,
    trouble: bool,
    start: Instant,
    requests: AtomicU64,
    answers: AtomicU64,
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
            conn.body(&head)?;
            if let Some(copy) = extra.take() {
                self.extras.fetch_add(1, Ordering::Relaxed);
                conn.send(&copy)?;
            }
            let id = head
                .get("azureway-attempt-id")
                .unwrap_or_default()
                .to_owned();
            let full = self.requests.fetch_add(1, Ordering::Relaxed) % FULL_EVERY == 0;
            let answer = if full {
                self.record
                    .add(format_args!("replica {}: {id} rejected", self.number));
                // As `fleetbench wire` prints it under "a server sheds".
                "HTTP/1.1 503 Service Unavailable\r\nAzureway-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".to_owned()
            } else {
                *self.ran.lock().unwrap().entry(id.clone()).or_default() += 1;
                self.record
                    .add(format_args!("replica {}: {id} runs", self.number));
                thread::sleep(WORK);
                let body = format!("{{\"done\":\"{id}\"}}");
                format!(
                    "HTTP/1.1 200 OK\r\nAzureway-Attempt-Id: {id}\r\nAzureway-Response-Signature: {}.{id}\r\n\
                     Keep-Alive: timeout=5\r\nContent-Length: {}\r\n\r\n{body}",
                    self.number,
                    body.len()
                )
            };
            conn.send(answer.as_bytes())?;
            let count = self.answers.fetch_add(1, Ordering::Relaxed);
            if self.is_disturbed() && count % EXTRA_EVERY == 0 {
                self.record.add(format_args!(
                    "replica {}: {id} will be answered again, rejected: {full}",
                    self.number
                ));
                extra = Some(answer.into_bytes());
            }
        }
        Ok(())
    }
}

pub fn run(record: &Record, temp: &Path, trouble: bool) -> i32 {
    let store = Store::new(record.clone());
    let address = store.serve().unwrap();
    let route = "{\"name\":\"r-order\",\"host\":\"review.example\",\"path_prefix\":\"/order/\",\"kind\":\"unsafe\",\
                 \"timeout_ms\":1500,\"target_latency_ms\":200,\"priority\":2,\"service\":\"app\",\
                 \"max_attempts\":1,\"public\":false}";
    store.put(
        "config",
        "main",
        &client::config(1, &[route.to_owned()], &[client::plain_service("app")]),
    );
    let ran: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let extras = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    for number in 0..REPLICAS {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let at = listener.local_addr().unwrap();
        let replica = Arc::new(Replica {
            number,
            record: record.clone(),
            trouble,
            start,
            requests: AtomicU64::new(1),
            answers: AtomicU64::new(0),
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
    let answers: Arc<Mutex<HashMap<String, u16>>> = Arc::default();
    let clients = (0..CLIENTS).map(|_| {
        let (record, stop, front, answers) =
            (record.clone(), stop.clone(), entry.front, answers.clone());
        thread::spawn(move || {
            let mut kept: Option<Conn> = None;
            while !stop.load(Ordering::Relaxed) {
                let id = attempt_id();
                let bytes = request("POST", "/order/a", &id, 3_000, &[b'x'; 600]);
                record.add(format_args!("client: {id} sent"));
                let conn = kept.take().map_or_else(|| client::connect(front), Ok);
                let result = conn.and_then(|mut conn| {
                    let (head, _) = exchange(&mut conn, &bytes)?;
                    if !head.closes() {
                        kept = Some(conn);
                    }
                    Ok(head.status())
                });
                let status = result.unwrap_or(0);
                record.add(format_args!("client: {id} answered {status}"));
                answers.lock().unwrap().insert(id, status);
                thread::sleep(Duration::from_millis(40));
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(RUN);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|c| drop(c.join()));
    let (ran, answers) = (ran.lock().unwrap(), answers.lock().unwrap());
    let mut counts: HashMap<u16, u64> = HashMap::new();
    answers
        .values()
        .for_each(|s| *counts.entry(*s).or_default() += 1);
    record.say(format_args!(
        "orders by status: {counts:?}, second answers sent: {}",
        extras.load(Ordering::Relaxed)
    ));
    let twice: Vec<_> = ran.iter().filter(|(_, times)| **times > 1).collect();
    for (id, times) in &twice {
        record.say(format_args!(
            "TWICE: {id} ran {times} times and was answered {:?}",
            answers.get(*id)
        ));
    }
    let refused = answers
        .iter()
        .filter(|(id, status)| matches!(status, 408 | 421 | 429 | 503) && ran.contains_key(*id));
    let refused: Vec<_> = refused.collect();
    for (id, status) in &refused {
        record.say(format_args!(
            "REFUSED: {id} was answered {status} and has run"
        ));
    }
    if twice.is_empty() && refused.is_empty() {
        HELD
    } else {
        BROKEN
    }
}
