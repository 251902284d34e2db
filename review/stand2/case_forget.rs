//! A request that crashes servers comes again, and all entry instances are killed in between.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::Client;
use crate::deployment::Deployment;
use crate::record::Record;

const SERVERS: [(&str, &str); 3] = [("i-app-1", "app"), ("i-app-2", "app"), ("i-app-3", "app")];
/// The number of entry instances.
const ENTRIES: usize = 3;
/// How often all of them are killed.
const KILLS: usize = 3;
/// The time for which they are down.
const DOWN: Duration = Duration::from_secs(1);
/// `stable_window_ms`.
const STABLE: Duration = Duration::from_secs(3);
/// The time after a start until the request comes again.
const CALM: Duration = Duration::from_secs(4);
/// How often the request comes between two kills, and the time between.
const ROUNDS: usize = 3;
const PERIOD: Duration = Duration::from_millis(3_500);
/// The retries that the rule allows later than `STABLE` after the third crash.
const ALLOWED: usize = 3;
/// The time between two orders of other clients.
const PACE: Duration = Duration::from_millis(100);

/// Plays the case. The disruption is that all entry instances are killed at the same moment.
pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::start_with(record, &SERVERS, ENTRIES)?;
    let orders = Orders::start(record);
    let (mut crashes, mut number) = (Vec::new(), 0);
    for life in 0..=KILLS {
        if life > 0 && trouble {
            orders.send_to(Vec::new());
            deployment.kill_entries(DOWN)?;
        }
        orders.send_to(deployment.entries.iter().map(|e| e.address).collect());
        sleep(CALM);
        for _ in 0..ROUNDS {
            let begin = Instant::now();
            let address = deployment.entries[number % ENTRIES].address;
            number += 1;
            let crashed = ask(record, address, number);
            if let Some(server) = crashed {
                crashes.push(begin);
                sleep(Duration::from_secs(1));
                deployment.restart(server)?;
            }
            sleep(PERIOD.saturating_sub(begin.elapsed()));
        }
    }
    orders.stop();
    let third = crashes.get(2).copied();
    let late = crashes
        .iter()
        .filter(|t| third.is_some_and(|third| **t > third + STABLE));
    let late = late.count();
    record.note(format!(
        "{} crashes in {number} attempts, {late} of them later than 3 s after the third",
        crashes.len()
    ));
    record.note(format!(
        "{} orders of other clients ran and never ended",
        record.count(" runs o") - record.count(" ends o")
    ));
    Ok(match late > ALLOWED {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Sends the request once. Returns the server that it crashed.
fn ask(record: &Record, address: SocketAddr, number: usize) -> Option<&'static str> {
    let id = format!("x{number:02}");
    let answer = Client::connect(address, Duration::from_secs(4)).and_then(|mut client| {
        client.send(
            "POST /order/poison/1",
            &id,
            3_000,
            "Connection: close\r\n",
            "the same order",
        )?;
        client.read_head()
    });
    record.note(format!(
        "the client has {:?} for {id}",
        answer.ok().flatten().map(|h| h.start)
    ));
    let crashed = |(name, _): &&(&str, _)| record.has(&format!("server {name} crashes on {id}"));
    SERVERS.iter().find(crashed).map(|(name, _)| *name)
}

/// Other clients, which send an order each at a steady pace.
struct Orders {
    addresses: Arc<Mutex<Vec<SocketAddr>>>,
    stop: Arc<AtomicBool>,
}

impl Orders {
    fn start(record: &Record) -> Self {
        let orders = Self {
            addresses: Arc::default(),
            stop: Arc::default(),
        };
        let (addresses, stop) = (Arc::clone(&orders.addresses), Arc::clone(&orders.stop));
        let record = record.clone();
        thread::spawn(move || {
            for number in 0_usize.. {
                if stop.load(Ordering::Relaxed) {
                    break;
                }
                let known = addresses.lock().unwrap().clone();
                if let Some(address) = known.get(number % ENTRIES).copied() {
                    let record = record.clone();
                    thread::spawn(move || send_order(address, &record, number));
                }
                sleep(PACE);
            }
        });
        orders
    }

    /// Sets where orders are sent.
    fn send_to(&self, addresses: Vec<SocketAddr>) {
        *self.addresses.lock().unwrap() = addresses;
    }

    /// Stops sending, and waits for the last answers.
    fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
        sleep(Duration::from_secs(2));
    }
}

fn send_order(address: SocketAddr, record: &Record, number: usize) {
    let id = format!("o{number:04}");
    let answer = Client::connect(address, Duration::from_secs(4)).and_then(|mut client| {
        client.send("POST /order/1", &id, 3_000, "Connection: close\r\n", &id)?;
        client.read_head()
    });
    let status = answer.ok().flatten().and_then(|h| h.status());
    if status != Some(200) {
        record.note(format!("another client has {status:?} for its order {id}"));
    }
}
