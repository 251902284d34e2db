//! Replicas that spoil some answers with long lists of cache events take the memory of every machine.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
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
/// The replicas that are faulty: a share of 0.56 of the 0.6 that the site file names.
const FAULTY: usize = 5;
/// A faulty replica spoils one answer in so many, which is below the share of 0.03 of the site file.
const SPOILED_ONE_IN: usize = 34;
/// How long the replicas are faulty at a time, as in the site file, and the time between.
const FAULT: Duration = Duration::from_secs(5);
const CALM: Duration = Duration::from_secs(4);
/// The size of a spoiled answer.
const SPOILED_BYTES: usize = 8_300_000;
/// The ordinary clients of a machine, and the pause of each between two requests.
const CLIENTS: usize = 24;
const PAUSE: Duration = Duration::from_millis(100);
const LENGTH: Duration = Duration::from_secs(70);
/// How often the platform looks at the memory of its processes.
const LOOK: Duration = Duration::from_millis(5);
/// The delay after which it starts a process again.
const RESTART: Duration = Duration::from_millis(500);
/// A process ends by itself so often on each machine, and the rule is broken.
const ENDS: usize = 3;

/// What a replica has answered while the replicas were faulty.
#[derive(Default)]
struct Answers {
    all: usize,
    spoiled: usize,
}

pub fn run(stand: &Stand) -> Outcome {
    let spoiled_bodies = [spoiled_answer(false), spoiled_answer(true)];
    let start = Instant::now();
    let counts: Arc<Vec<Mutex<Answers>>> =
        Arc::new((0..REPLICAS).map(|_| Mutex::default()).collect());
    let trouble = stand.trouble;
    let polls = AtomicUsize::new(0);
    let handler: Handler = {
        let counts = Arc::clone(&counts);
        Arc::new(move |replica, request, writer| {
            let number: usize = replica.id[2..].parse().unwrap_or(0);
            let id = attempt_id(request);
            if is_faulty(start) {
                counts[number].lock().unwrap().all += 1;
            }
            if request.word(1).starts_with("/kv-events") {
                // Replicas hold polls for times of their own, so that they do not act in step.
                let poll = polls.fetch_add(1, Ordering::SeqCst);
                let random = mixed(poll);
                thread::sleep(Duration::from_millis(300 + random % 500));
                let is_chosen = random / 500 % 2 == 0;
                if trouble
                    && is_chosen
                    && number < FAULTY
                    && is_faulty(start)
                    && may_spoil(&counts[number])
                {
                    replica.record.line(format!(
                        "replica {} spoils the answer to {}",
                        replica.id, request.line
                    ));
                    return write(writer, &spoiled_bodies[number % 2]);
                }
                let body = "{\"boot_epoch\":7,\"next_page_token\":1,\"lost\":false,\"events\":[]}";
                return write(writer, &answer_with(body));
            }
            if request.word(1) == "/order" {
                return write(writer, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
            }
            replica.run(request);
            let body = "id: 0\ndata: wax\n\nid: 1\ndata: blue\n\n";
            let answer = format!(
                "HTTP/1.1 200 OK\r\nAzureway-Attempt-Id: {id}\r\nAzureway-Response-Signature: {}\r\nAzureway-Weight-Versions: 1\r\nContent-Type: text/event-stream\r\nContent-Length: {}\r\n\r\n{body}",
                signature(&replica.id, id),
                body.len()
            );
            write(writer, answer.as_bytes())
        })
    };
    let mut replicas = Vec::new();
    for number in 0..REPLICAS {
        let id = format!("m-{number}");
        let replica = Replica::start(&id, "wax-llm", &stand.record, Arc::clone(&handler));
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
    let served = Arc::new(AtomicUsize::new(0));
    let ends: Vec<Arc<AtomicUsize>> = names.iter().map(|_| Arc::default()).collect();
    let mut threads = Vec::new();
    for (entry, ends) in entries.into_iter().zip(&ends) {
        let (record, stop, ends) = (stand.record.clone(), Arc::clone(&stop), Arc::clone(ends));
        threads.push(thread::spawn(move || {
            watch_memory(entry, limit_kb, &record, &stop, &ends);
        }));
    }
    for (machine, front) in fronts.iter().enumerate() {
        for number in 0..CLIENTS {
            let (front, stop, served) = (*front, Arc::clone(&stop), Arc::clone(&served));
            let record = stand.record.clone();
            threads.push(thread::spawn(move || {
                ask(
                    front,
                    &format!("c{machine}-{number}"),
                    &stop,
                    &served,
                    &record,
                );
            }));
        }
    }
    let are_ended = || ends.iter().all(|e| e.load(Ordering::SeqCst) >= ENDS);
    while start.elapsed() < LENGTH && !are_ended() {
        thread::sleep(Duration::from_millis(100));
    }
    stop.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    for (replica, count) in replicas.iter().zip(counts.iter()) {
        let count = count.lock().unwrap();
        stand.record.line(format!(
            "replica {} gave {} answers while replicas were faulty, {} of them spoiled",
            replica.id, count.all, count.spoiled
        ));
    }
    let ends: Vec<usize> = ends.iter().map(|e| e.load(Ordering::SeqCst)).collect();
    let served = served.load(Ordering::SeqCst);
    stand.record.line(format!(
        "ends for their memory, by machine: {ends:?}; {served} requests served"
    ));
    match ends.iter().all(|e| *e >= ENDS) {
        true => Outcome::Broken,
        false if served == 0 => Outcome::NotRun("no request was served".to_owned()),
        false => Outcome::Held,
    }
}

/// Returns an answer to a poll that tells of far more events than a replica keeps: of other parts without
/// end, or, if `repeats`, of one part again and again.
fn spoiled_answer(repeats: bool) -> Vec<u8> {
    let mut body = "{\"boot_epoch\":7,\"next_page_token\":1,\"lost\":false,\"events\":[".to_owned();
    let mut number = 0;
    while body.len() < SPOILED_BYTES {
        body += &format!("[1,\"+\",\"0.1\",\"{number:x}\",0,\"\"],");
        number += usize::from(!repeats);
    }
    body.pop();
    body += "]}";
    answer_with(&body)
}

fn answer_with(body: &str) -> Vec<u8> {
    format!(
        "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

fn write(writer: &mut TcpStream, bytes: &[u8]) -> bool {
    writer.write_all(bytes).is_ok()
}

/// Returns a number that looks random, the same in each run.
fn mixed(number: usize) -> u64 {
    let mut value = (number as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    value ^= value >> 31;
    value.wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 33
}

/// Returns whether the replicas are faulty at this moment.
fn is_faulty(start: Instant) -> bool {
    let period = (FAULT + CALM).as_millis();
    start.elapsed().as_millis() % period >= CALM.as_millis()
}

/// Counts a spoiled answer if the share allows one.
fn may_spoil(answers: &Mutex<Answers>) -> bool {
    let mut answers = answers.lock().unwrap();
    let allowed = (answers.spoiled + 1) * SPOILED_ONE_IN <= answers.all;
    answers.spoiled += usize::from(allowed);
    allowed
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
        "{} had {most} kB at most, of {limit_kb} kB (peak of the last process: {} kB)",
        entry.name,
        entry.status_kb("VmHWM")
    ));
}

/// Sends ordinary requests until the end.
fn ask(
    front: SocketAddr,
    name: &str,
    stop: &AtomicBool,
    served: &AtomicUsize,
    record: &crate::record::Record,
) {
    let mut client = None;
    let mut number = 0;
    while !stop.load(Ordering::SeqCst) {
        thread::sleep(PAUSE);
        number += 1;
        let id = format!("{name}-{number}");
        let extra = format!(
            "Azureway-Deadline-Ms: 5000\r\nAzureway-Model: wax\r\nAzureway-Token-Usage: 3,13\r\nAzureway-Prompt-Prefix: {name}:1,{number:x}:1,b:1\r\n"
        );
        let bytes = request("POST", "/notes/today", &id, &extra, b"notes");
        let Some(mut connection) = client.take().or_else(|| Client::connect(front).ok()) else {
            continue;
        };
        let status = match connection.send(&bytes).and_then(|()| connection.read()) {
            Ok(answer) => {
                client = Some(connection);
                answer.status()
            }
            Err(_) => 0,
        };
        record.line(format!("{id} was sent and got {status}"));
        served.fetch_add(usize::from(status == 200), Ordering::SeqCst);
    }
}
