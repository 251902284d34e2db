//! Requests inside the limits whose prompts have thousands of parts take the memory of every machine.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, request};
use crate::entry::{Entry, Machine};
use crate::replica::{Handler, Replica, attempt_id, signature};
use crate::{Outcome, Stand, engine_config};

/// The model replicas, as in the site file.
const REPLICAS: usize = 9;
/// The requests that are open at a machine at once: fewer than the connections that it takes.
const OPEN: usize = 800;
/// How often the clients send that many.
const WAVES: usize = 3;
/// The size of the list of a prompt's parts. With the other headers it stays inside `max_header_bytes`.
const PARTS_BYTES: usize = 15_500;
/// The time until a replica's first event: less than the prompts of a wave take it to read.
const FIRST_EVENT: Duration = Duration::from_millis(2_500);
/// How often the platform looks at the memory of its processes.
const LOOK: Duration = Duration::from_millis(20);
/// The delay after which it starts a process again.
const RESTART: Duration = Duration::from_millis(500);
/// A process ends by itself so often on each machine, and the rule is broken.
const ENDS: usize = 3;

pub fn run(stand: &Stand) -> Outcome {
    let handler: Handler = Arc::new(|replica, request, writer| {
        let id = attempt_id(request);
        if request.word(1).starts_with("/kv-events") {
            thread::sleep(Duration::from_millis(800));
            let body = "{\"boot_epoch\":7,\"next_page_token\":1,\"lost\":false,\"events\":[]}";
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            return writer.write_all(head.as_bytes()).is_ok();
        }
        if request.word(1) == "/order" {
            let answer = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
            return writer.write_all(answer).is_ok();
        }
        replica.run(request);
        thread::sleep(FIRST_EVENT);
        let body = "id: 0\ndata: wax\n\nid: 1\ndata: blue\n\n";
        let answer = format!(
            "HTTP/1.1 200 OK\r\nAzureway-Attempt-Id: {id}\r\nAzureway-Response-Signature: {}\r\nAzureway-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{body}",
            signature(&replica.id, id),
            body.len()
        );
        writer.write_all(answer.as_bytes()).is_ok()
    });
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let replica = Replica::start(
            &format!("m-{number}"),
            "wax-llm",
            &stand.record,
            Arc::clone(&handler),
        );
        stand
            .store
            .put("servers", &replica.id, &replica.engine_entry(1));
        replicas.push(replica);
    }
    stand.store.put("config", "main", &engine_config(1));
    stand
        .store
        .put("versions", "wax", "{\"model\":\"wax\",\"version\":1}");
    let machine = Machine::small();
    let limit_kb = machine.memory_mb * 1_000_000 / 1024;
    let names = ["front-kranj-a-1", "front-kranj-a-2"];
    let entries = names.map(|n| Entry::start(&stand.dir, n, stand.store.address, &machine));
    if !entries
        .iter()
        .all(|e| e.wait_ready(Duration::from_secs(10)))
    {
        return Outcome::NotRun("an entry is not ready".to_owned());
    }
    let fronts: Vec<SocketAddr> = entries.iter().map(|e| e.front).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let ends: Vec<Arc<AtomicUsize>> = names.iter().map(|_| Arc::default()).collect();
    let platforms: Vec<_> = entries
        .into_iter()
        .zip(&ends)
        .map(|(entry, ends)| {
            let (record, stop, ends) = (stand.record.clone(), Arc::clone(&stop), Arc::clone(ends));
            thread::spawn(move || watch_memory(entry, limit_kb, &record, &stop, &ends))
        })
        .collect();
    let mut served = 0;
    for wave in 0..WAVES {
        let answers = send_wave(stand, &fronts, wave);
        stand.record.line(format!(
            "wave {wave}: answers by status (0: none) {answers:?}"
        ));
        served += answers.get(&200).copied().unwrap_or(0);
        thread::sleep(Duration::from_secs(3));
    }
    stop.store(true, Ordering::SeqCst);
    for platform in platforms {
        let _ = platform.join();
    }
    let ends: Vec<usize> = ends.iter().map(|e| e.load(Ordering::SeqCst)).collect();
    stand.record.line(format!(
        "ends for their memory, by machine: {ends:?}; {served} requests served"
    ));
    match ends.iter().all(|e| *e >= ENDS) {
        true => Outcome::Broken,
        false if served == 0 => Outcome::NotRun("no request was served".to_owned()),
        false => Outcome::Held,
    }
}

/// Does what the platform does with a process: kills it above its memory and starts it again.
fn watch_memory(
    mut entry: Entry,
    limit_kb: u64,
    record: &crate::record::Record,
    stop: &AtomicBool,
    ends: &AtomicUsize,
) {
    let mut most = 0;
    while !stop.load(Ordering::SeqCst) {
        let used = entry.status_kb("VmRSS");
        most = most.max(used);
        if used > limit_kb {
            record.line(format!(
                "{} has {used} kB of {limit_kb} kB: the platform kills it",
                entry.name
            ));
            ends.fetch_add(1, Ordering::SeqCst);
            entry.kill();
            thread::sleep(RESTART);
            entry.restart();
        } else if !entry.is_running() {
            record.line(format!("{} has ended", entry.name));
            ends.fetch_add(1, Ordering::SeqCst);
            entry.restart();
        }
        thread::sleep(LOOK);
    }
    record.line(format!(
        "{} had {most} kB at most, of {limit_kb} kB",
        entry.name
    ));
}

/// Sends requests to all machines at once and returns the number of answers by their status.
fn send_wave(stand: &Stand, fronts: &[SocketAddr], wave: usize) -> BTreeMap<u16, usize> {
    let answers: Arc<Mutex<BTreeMap<u16, usize>>> = Arc::default();
    let mut clients = Vec::new();
    for (machine, front) in fronts.iter().enumerate() {
        for number in 0..OPEN {
            let (front, answers, trouble) = (*front, Arc::clone(&answers), stand.trouble);
            let record = stand.record.clone();
            let id = format!("w{wave}-m{machine}-{number}");
            let client = thread::Builder::new()
                .stack_size(128 * 1024)
                .spawn(move || {
                    let status = send(front, &id, trouble);
                    record.line(format!("{id} was sent and got {status}"));
                    *answers.lock().unwrap().entry(status).or_default() += 1;
                });
            clients.extend(client);
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let answers = answers.lock().unwrap();
    answers.clone()
}

/// Sends a request and returns the status of its answer, or 0 if there was none.
fn send(front: SocketAddr, id: &str, trouble: bool) -> u16 {
    let mut parts = String::new();
    let mut number = 0;
    // Three parts are what the clients of the site file send.
    while if trouble {
        parts.len() < PARTS_BYTES
    } else {
        number < 3
    } {
        parts += &format!("{number:x}:1,");
        number += 1;
    }
    parts.pop();
    let extra = format!(
        "Azureway-Deadline-Ms: 5000\r\nAzureway-Model: wax\r\nAzureway-Token-Usage: {number},13\r\nAzureway-Prompt-Prefix: {parts}\r\n"
    );
    let bytes = request("POST", "/notes/today", id, &extra, b"notes");
    let end = Instant::now() + Duration::from_secs(5);
    while Instant::now() < end {
        let Ok(mut client) = Client::connect(front) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        let answer = client.send(&bytes).and_then(|()| client.read());
        return answer.map_or(0, |a| a.status());
    }
    0
}
