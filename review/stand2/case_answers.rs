//! Many clients get quick answers to prompts whose many parts are all new.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Client, generation, long_prefix, request};
use crate::deployment::{Deployment, SERVERS};
use crate::http::read_chunk;
use crate::ordinary::Ordinary;
use crate::record::Record;

/// The largest head of a request that the configuration allows, in bytes.
const HEAD_BYTES: usize = 16_384;
/// The number of clients, each of which sends a request when it has the answer to the one before.
const CLIENTS: usize = 400;
/// The time for which they do.
const TIME: Duration = Duration::from_secs(20);
/// The time for which a client waits for an answer.
const PATIENCE: Duration = Duration::from_secs(10);
/// More parts than a request has.
const STEP: u64 = 4_096;

/// Plays the case. The disruption is that the clients' prompts have many parts instead of two.
pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let deployment = Deployment::start(record, &SERVERS)?;
    let address = deployment.entries[0].address;
    let ordinary = Ordinary::start(address, record);
    let (end, numbers) = (Instant::now() + TIME, Arc::new(AtomicU64::new(0)));
    let clients = (0..CLIENTS).map(|_| {
        let numbers = Arc::clone(&numbers);
        thread::spawn(move || {
            while Instant::now() < end {
                let _ = ask(address, numbers.fetch_add(1, Ordering::Relaxed), trouble);
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    for client in clients {
        let _ = client.join();
    }
    let sent = numbers.load(Ordering::Relaxed);
    record.note(format!("{CLIENTS} clients sent {sent} requests"));
    Ok(ordinary.check(record))
}

/// Sends a request and reads its answer.
fn ask(address: SocketAddr, number: u64, trouble: bool) -> std::io::Result<()> {
    let id = format!("p{number:06}");
    let used = request("POST /quick/1", &id, 5_000, &generation(""), "prompt").len();
    let first = number * STEP;
    let parts = match trouble {
        true => long_prefix(HEAD_BYTES, used, first),
        false => format!("{first:x}:119,{:x}:79", first + 1),
    };
    let mut client = Client::connect(address, PATIENCE)?;
    client.send("POST /quick/1", &id, 5_000, &generation(&parts), "prompt")?;
    if client.read_head()?.and_then(|h| h.status()) == Some(200) {
        while !read_chunk(client.reader())?.is_empty() {}
    }
    Ok(())
}
