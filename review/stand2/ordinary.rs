//! An ordinary client, which asks a plain service at a steady pace.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::Client;
use crate::record::Record;

/// The time between two requests.
const PACE: Duration = Duration::from_millis(200);
/// The route's time limit.
const TIMEOUT: Duration = Duration::from_millis(1_500);
/// The route's time limit and the half second that the rule adds.
const LATE: Duration = Duration::from_millis(2_000);
/// The time for which the client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(10);

/// A running ordinary client.
pub struct Ordinary {
    times: Arc<Mutex<Vec<Duration>>>,
    stop: Arc<AtomicBool>,
    thread: JoinHandle<()>,
}

impl Ordinary {
    /// Starts the client.
    pub fn start(address: SocketAddr, record: &Record) -> Self {
        let (times, stop) = (Arc::default(), Arc::default());
        let client = (Arc::clone(&times), Arc::clone(&stop), record.clone());
        let thread = thread::spawn(move || {
            let (times, stop, record) = client;
            send_all(address, &record, &times, &stop);
        });
        Self {
            times,
            stop,
            thread,
        }
    }

    /// Stops the client and checks the rule: of the requests that have no answer at the route's time limit,
    /// no more than half have none half a second later.
    pub fn check(self, record: &Record) -> Verdict {
        self.stop.store(true, Ordering::Relaxed);
        let _ = self.thread.join();
        let times = self.times.lock().unwrap();
        let unanswered = times.iter().filter(|t| **t > TIMEOUT).count();
        let late = times.iter().filter(|t| **t > LATE).count();
        record.note(format!("of {} ordinary requests {unanswered} had no answer at the route's time limit, and {late} of these none half a second later", times.len()));
        match late * 2 > unanswered {
            true => Verdict::Broken,
            false => Verdict::Held,
        }
    }
}

/// Sends requests until the client stops, each on a connection of its own, and records how long each answer
/// took.
fn send_all(
    address: SocketAddr,
    record: &Record,
    times: &Arc<Mutex<Vec<Duration>>>,
    stop: &AtomicBool,
) {
    let mut waiting = Vec::new();
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let (record, times) = (record.clone(), Arc::clone(times));
        waiting.push(thread::spawn(move || {
            let begin = Instant::now();
            let id = format!("o{number:03}");
            let answer = Client::connect(address, PATIENCE).and_then(|mut client| {
                client.send("GET /plain/1", &id, 3_000, "Connection: close\r\n", "")?;
                client.read_head()
            });
            let status = answer.ok().flatten().and_then(|h| h.status());
            let took = begin.elapsed();
            record.note(format!(
                "the ordinary client has {status:?} for {id} after {took:.1?}"
            ));
            times.lock().unwrap().push(took);
        }));
        sleep(PACE);
    }
    for thread in waiting {
        let _ = thread.join();
    }
}
