//! Clients leave in the middle of a chunked body. A replica must never run what they had sent so far.

use std::io::Write;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Barrier};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, request};
use crate::entry::{Entry, Machine};
use crate::record::Record;
use crate::replica::{Handler, Replica, attempt_id};
use crate::{Outcome, Stand, config};

/// The clients that send whole requests, and those that leave: a share of 0.28 of the 0.3 of the site file,
/// and as many as a zone of the site has.
const STAYING: usize = 18;
const LEAVING: usize = 7;
/// The time for which the clients send.
const LENGTH: Duration = Duration::from_secs(90);
/// The pause of a client between two requests.
const STAYING_PAUSE: Duration = Duration::from_millis(100);
const LEAVING_PAUSE: Duration = Duration::from_millis(60);
/// The body of an order, and the part of it that a leaving client has sent.
const ORDER: &str = "{\"ski\":\"4711\",\"deposit\":20}";
const SENT: usize = 12;

pub fn run(stand: &Stand) -> Outcome {
    let damaged = Arc::new(AtomicUsize::new(0));
    let count = Arc::clone(&damaged);
    let handler: Handler = Arc::new(move |replica, request, writer| {
        let whole = request.text() == ORDER;
        if !whole {
            count.fetch_add(1, Ordering::SeqCst);
            let text = request.text();
            let id = attempt_id(request);
            replica.record.line(format!(
                "BROKEN: {id} reaches the replica with the body {text:?}"
            ));
        }
        replica.run(request);
        replica.answer(request, b"booked", writer)
    });
    let start = |i: usize| {
        let replica = Replica::start(
            &format!("i-{i}"),
            "bench-app",
            &stand.record,
            Arc::clone(&handler),
        );
        replica.register(&stand.store, 1);
        replica
    };
    let _replicas: Vec<Replica> = (0..3).map(start).collect();
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
    let end = Instant::now() + LENGTH;
    // Those that leave are connections of one program that ends, so they are closed together.
    let together = Arc::new(Barrier::new(LEAVING));
    let clients: Vec<_> = (0..STAYING + LEAVING)
        .map(|number| {
            let (front, record) = (entry.front, stand.record.clone());
            let together = Arc::clone(&together);
            let leaves = number >= STAYING && stand.trouble;
            thread::spawn(move || match leaves {
                true => leave(number, front, end, &together, &record),
                false => stay(number, front, end, &record),
            })
        })
        .collect();
    let answered: usize = clients.into_iter().map(|c| c.join().unwrap_or(0)).sum();
    thread::sleep(Duration::from_millis(500));
    let damaged = damaged.load(Ordering::SeqCst);
    stand.record.line(format!(
        "{answered} requests got the replica's whole answer"
    ));
    stand.record.line(format!(
        "{damaged} requests ran with a body that no client sent as a whole"
    ));
    match (damaged, answered) {
        (_, 0) => Outcome::NotRun("no request was served".to_owned()),
        (0, _) => Outcome::Held,
        _ => Outcome::Broken,
    }
}

/// Sends whole orders over kept connections, in chunks. Returns how many were answered.
fn stay(number: usize, front: std::net::SocketAddr, end: Instant, record: &Record) -> usize {
    let mut answered = 0;
    let mut sent = 0;
    while Instant::now() < end {
        let Ok(mut client) = Client::connect(front) else {
            continue;
        };
        for _ in 0..20 {
            sent += 1;
            let id = format!("whole-{number}-{sent}");
            record.line(format!("client {number} sends {id}"));
            let body = format!("{:x}\r\n{ORDER}\r\n0\r\n\r\n", ORDER.len());
            let answer = client.send(&head(&id, &body)).and_then(|()| client.read());
            let status = answer.as_ref().map_or(0, |a| a.status());
            record.line(format!("client {number} gets {status} for {id}"));
            answered += usize::from(status == 200);
            thread::sleep(STAYING_PAUSE);
            if status == 0 || Instant::now() >= end {
                break;
            }
        }
    }
    answered
}

/// Sends a part of an order and closes the connection, together with the others that leave, again and again.
fn leave(
    number: usize,
    front: std::net::SocketAddr,
    end: Instant,
    together: &Barrier,
    record: &Record,
) -> usize {
    let rounds = LENGTH.as_millis() / LEAVING_PAUSE.as_millis();
    for round in 0..rounds {
        let client = Client::connect(front);
        together.wait();
        if Instant::now() >= end {
            // The others go on to the last round, so that nobody waits for this one.
            continue;
        }
        let Ok(mut client) = client else {
            continue;
        };
        let id = format!("left-{number}-{round}");
        let body = format!("{:x}\r\n{}", ORDER.len(), &ORDER[..SENT]);
        let written = client.stream.write_all(&head(&id, &body));
        drop(client);
        record.line(format!(
            "client {number} sends {SENT} of {} bytes of {id} and leaves ({written:?})",
            ORDER.len()
        ));
        thread::sleep(LEAVING_PAUSE);
    }
    0
}

fn head(id: &str, body: &str) -> Vec<u8> {
    let extra = "Azureway-Deadline-Ms: 3000\r\nTransfer-Encoding: chunked\r\n";
    // The head ends with the blank line of a request without a length.
    let mut bytes = request("GET", "/deposit/order", id, extra, b"");
    bytes.splice(..3, *b"POST");
    bytes.extend_from_slice(body.as_bytes());
    bytes
}
