//! A faulty replica sends an answer a second time, where the next one is due. It belongs to no request.

use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::client::{Client, request};
use crate::entry::{Entry, Machine};
use crate::http::Message;
use crate::replica::{Handler, Replica, attempt_id};
use crate::{Outcome, Stand, config};

/// The answer of a replica that is full, as `fleetbench wire` prints it.
const SHED: &[u8] =
    b"HTTP/1.1 503 Service Unavailable\r\nAzureway-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
/// The rounds, each with a short time in which one replica is full.
const ROUNDS: usize = 12;
/// The time from the shed answer to the next requests: the entry leaves a replica that shed alone for
/// half a second, and uses a connection for an unsafe request within a second.
const PAUSE: Duration = Duration::from_millis(650);
/// The requests that follow at once.
const FOLLOWING: usize = 4;
/// The other requests of a round, of which each replica answers about half.
const OTHERS: usize = 80;
/// The largest part of its answers after which the replica sends another one: the dose of the site file.
const DOSE: f64 = 0.03;

pub fn run(stand: &Stand) -> Outcome {
    let full = Arc::new(AtomicBool::new(false));
    let strays = Arc::new(AtomicUsize::new(0));
    let answers = Arc::new(AtomicUsize::new(0));
    // The connections on which the last answer was a shed one, by the client's port.
    let shed: Arc<Mutex<Vec<u16>>> = Arc::default();
    let trouble = stand.trouble;
    let faulty: Handler = {
        let (full, strays, shed) = (Arc::clone(&full), Arc::clone(&strays), Arc::clone(&shed));
        let answers = Arc::clone(&answers);
        Arc::new(move |replica, request, writer| {
            let id = attempt_id(request);
            let port = writer.peer_addr().map_or(0, |a| a.port());
            let answered = answers.fetch_add(1, Ordering::SeqCst) as f64;
            if full.load(Ordering::SeqCst) {
                replica
                    .record
                    .line(format!("replica {} is full and sheds {id}", replica.id));
                shed.lock().unwrap().push(port);
                return writer.write_all(SHED).is_ok();
            }
            let mut shed = shed.lock().unwrap();
            let allowed = (strays.load(Ordering::SeqCst) + 1) as f64 <= answered * DOSE;
            let repeats = trouble && allowed && shed.contains(&port);
            shed.retain(|p| *p != port);
            drop(shed);
            if repeats {
                strays.fetch_add(1, Ordering::SeqCst);
                replica.record.line(format!(
                    "replica {} sends the shed answer once more, as {id} arrives",
                    replica.id
                ));
                let _ = writer.write_all(SHED);
            }
            work(replica, request, writer)
        })
    };
    let sound: Handler = Arc::new(work);
    let one = Replica::start("i-1", "bench-app", &stand.record, faulty);
    let two = Replica::start("i-2", "bench-app", &stand.record, sound);
    one.register(&stand.store, 1);
    two.register(&stand.store, 1);
    stand
        .store
        .put("config", "main", &config(1, "bench-app", ""));
    let entry = Entry::start(
        &stand.dir,
        "front-kranj-a-1",
        stand.store.address,
        &Machine::small(),
    );
    if !entry.wait_ready(Duration::from_secs(10)) {
        return Outcome::NotRun("the entry is not ready".to_owned());
    }
    let mut answered = 0;
    for round in 0..ROUNDS {
        answered += send_others(stand, &entry, round);
        full.store(true, Ordering::SeqCst);
        answered += send_all(stand, &entry, &format!("first-{round}"));
        full.store(false, Ordering::SeqCst);
        thread::sleep(PAUSE);
        answered += send_all(stand, &entry, &format!("next-{round}"));
        shed.lock().unwrap().clear();
    }
    let runs_of = |replica: &Replica| replica.runs.lock().unwrap().clone();
    let all: Vec<String> = runs_of(&one).into_iter().chain(runs_of(&two)).collect();
    let mut ids = all.clone();
    ids.sort();
    ids.dedup();
    for id in &ids {
        let runs = all.iter().filter(|r| *r == id).count();
        if runs > 1 {
            stand
                .record
                .line(format!("BROKEN: {id}, an unsafe request, ran {runs} times"));
        }
    }
    let twice = all.len() - ids.len();
    let strays = strays.load(Ordering::SeqCst);
    let answers = answers.load(Ordering::SeqCst);
    stand.record.line(format!(
        "{answered} answered with 200; {strays} stray answers beside {answers} of the faulty replica; {twice} ran twice"
    ));
    match (twice, answered) {
        (_, 0) => Outcome::NotRun("no request was served".to_owned()),
        (0, _) if trouble && strays == 0 => Outcome::NotRun("no stray answer was sent".to_owned()),
        (0, _) => Outcome::Held,
        _ => Outcome::Broken,
    }
}

/// Runs a request and answers it.
fn work(replica: &Replica, request: &Message, writer: &mut TcpStream) -> bool {
    replica.run(request);
    let time = if request.word(0) == "GET" { 2 } else { 30 };
    thread::sleep(Duration::from_millis(time));
    replica.answer(request, b"booked", writer)
}

/// Sends safe requests one after the other. Returns how many got 200.
fn send_others(stand: &Stand, entry: &Entry, round: usize) -> usize {
    let mut answered = 0;
    let Ok(mut client) = Client::connect(entry.front) else {
        return 0;
    };
    for number in 0..OTHERS {
        let id = format!("other-{round}-{number}");
        stand.record.line(format!("a client sends {id}"));
        let bytes = request(
            "GET",
            "/status/order",
            &id,
            "Azureway-Deadline-Ms: 3000\r\n",
            b"",
        );
        let answer = client.send(&bytes).and_then(|()| client.read());
        let status = answer.map_or(0, |a| a.status());
        stand
            .record
            .line(format!("the client gets {status} for {id}"));
        answered += usize::from(status == 200);
    }
    answered
}

/// Sends unsafe requests at once, each on a connection of its own. Returns how many got 200.
fn send_all(stand: &Stand, entry: &Entry, name: &str) -> usize {
    let clients: Vec<_> = (0..FOLLOWING)
        .map(|number| {
            let (front, record, id) = (
                entry.front,
                stand.record.clone(),
                format!("{name}-{number}"),
            );
            thread::spawn(move || {
                record.line(format!("a client sends {id}"));
                let bytes = request(
                    "POST",
                    "/deposit/order",
                    &id,
                    "Azureway-Deadline-Ms: 3000\r\n",
                    b"order",
                );
                let answer = Client::connect(front).and_then(|mut c| {
                    c.send(&bytes)?;
                    c.read()
                });
                let status = answer.map_or(0, |a| a.status());
                record.line(format!("the client gets {status} for {id}"));
                usize::from(status == 200)
            })
        })
        .collect();
    clients.into_iter().map(|c| c.join().unwrap_or(0)).sum()
}
