//! A client holds connections on which it sends nothing. The machines say that they are ready and serve nobody
//! who comes anew.

use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, request};
use crate::entry::{Entry, Machine};
use crate::record::Record;
use crate::replica::{Handler, Replica};
use crate::{Outcome, Stand, config};

/// The connections that the client holds at each machine.
const HELD: usize = 950;
/// The ordinary clients of each machine: the rule counts seven or more.
const CLIENTS: usize = 8;
const PAUSE: Duration = Duration::from_millis(250);
/// The time before the client comes, and the time for which it stays.
const BEFORE: Duration = Duration::from_secs(3);
const LENGTH: Duration = Duration::from_secs(40);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);

/// A try of an ordinary client: when it ended, the client, and the status (0: none).
type Tries = Arc<Mutex<Vec<(Instant, usize, u16)>>>;

pub fn run(stand: &Stand) -> Outcome {
    let handler: Handler = Arc::new(|replica, request, writer| {
        replica.run(request);
        thread::sleep(Duration::from_millis(10));
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
    let names = ["front-kranj-a-1", "front-kranj-a-2"];
    let machine = Machine::small();
    let entries = names.map(|n| Entry::start(&stand.dir, n, stand.store.address, &machine));
    if !entries
        .iter()
        .all(|e| e.wait_ready(Duration::from_secs(10)))
    {
        return Outcome::NotRun("an entry is not ready".to_owned());
    }
    let end = Instant::now() + BEFORE + LENGTH;
    let tries = [Tries::default(), Tries::default()];
    let mut clients = Vec::new();
    for (machine, entry) in entries.iter().enumerate() {
        for number in 0..CLIENTS {
            let (front, record, tries) = (
                entry.front,
                stand.record.clone(),
                Arc::clone(&tries[machine]),
            );
            let name = format!("m{machine}-c{number}");
            clients.push(thread::spawn(move || {
                try_often(front, &name, number, end, &record, &tries)
            }));
        }
    }
    thread::sleep(BEFORE);
    let stop = Arc::new(AtomicBool::new(false));
    let holders: Vec<_> = entries
        .iter()
        .filter(|_| stand.trouble)
        .map(|entry| {
            let (front, record, stop) = (entry.front, stand.record.clone(), Arc::clone(&stop));
            thread::spawn(move || hold(front, &record, &stop))
        })
        .collect();
    // The balancer asks each second. A machine that is not ready even once has no such span here.
    let mut ready = [Vec::new(), Vec::new()];
    while Instant::now() < end {
        for (machine, entry) in entries.iter().enumerate() {
            let is_ready = entry.is_ready();
            stand
                .record
                .line(format!("machine {machine} is ready: {is_ready}"));
            ready[machine].push((Instant::now(), is_ready));
        }
        thread::sleep(Duration::from_secs(1));
    }
    for client in clients {
        let _ = client.join();
    }
    stop.store(true, Ordering::SeqCst);
    for holder in holders {
        let _ = holder.join();
    }
    let (mut broken, mut served) = (false, 0);
    for machine in 0..entries.len() {
        let tries = tries[machine].lock().unwrap();
        let answered: Vec<Instant> = tries.iter().filter(|t| t.2 == 200).map(|t| t.0).collect();
        served += answered.len();
        let span = longest_span(&answered, end);
        let count = |status: u16| tries.iter().filter(|t| t.2 == status).count();
        stand.record.line(format!(
            "machine {machine}: {} tries, {} got 200, {} got 503, {} nothing",
            tries.len(),
            count(200),
            count(503),
            count(0)
        ));
        let (from, to) = span;
        let in_span = |at: &Instant| from <= *at && *at <= to;
        let mut who: Vec<usize> = tries
            .iter()
            .filter(|t| in_span(&t.0))
            .map(|t| t.1)
            .collect();
        who.sort_unstable();
        who.dedup();
        let says_ready = ready[machine].iter().filter(|r| in_span(&r.0)).all(|r| r.1);
        let length = to.saturating_duration_since(from);
        stand.record.line(format!(
            "machine {machine}: that is {:.1} s, in which {} clients tried and it said that it is ready: {says_ready}",
            length.as_secs_f64(),
            who.len()
        ));
        broken |= length >= STABLE_WINDOW && who.len() >= 7 && says_ready;
    }
    match (broken, served) {
        (_, 0) => Outcome::NotRun("no request was served".to_owned()),
        (true, _) => Outcome::Broken,
        (false, _) => Outcome::Held,
    }
}

/// Opens a new connection for each request.
fn try_often(
    front: SocketAddr,
    name: &str,
    number: usize,
    end: Instant,
    record: &Record,
    tries: &Tries,
) {
    let mut count = 0;
    while Instant::now() < end {
        count += 1;
        let id = format!("{name}-{count}");
        let bytes = request(
            "GET",
            "/status/order",
            &id,
            "Azureway-Deadline-Ms: 3000\r\n",
            b"",
        );
        let answer = Client::connect(front).and_then(|mut c| {
            c.send(&bytes)?;
            c.read()
        });
        let status = answer.map_or(0, |a| a.status());
        record.line(format!("{id} gets {status}"));
        tries.lock().unwrap().push((Instant::now(), number, status));
        thread::sleep(PAUSE);
    }
}

/// Holds connections open, and opens another one for each that is closed.
fn hold(front: SocketAddr, record: &Record, stop: &AtomicBool) {
    let mut held: Vec<TcpStream> = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let before = held.len();
        held.retain(|stream| is_open(stream));
        let closed = before - held.len();
        let mut opened = 0;
        while held.len() < HELD && !stop.load(Ordering::SeqCst) {
            match TcpStream::connect_timeout(&front, Duration::from_secs(1)) {
                Ok(stream) => held.push(stream),
                Err(_) => break,
            }
            opened += 1;
        }
        if closed + opened > 0 {
            record.line(format!(
                "a client holds {} connections to {front} ({closed} were closed)",
                held.len()
            ));
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// Returns whether the other side has neither closed the connection nor written to it.
fn is_open(stream: &TcpStream) -> bool {
    let set = stream.set_nonblocking(true);
    let peeked = stream.peek(&mut [0]);
    set.is_ok() && peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
}

/// Returns the longest span between two answers, or between the last one and `end`.
fn longest_span(answered: &[Instant], end: Instant) -> (Instant, Instant) {
    let mut times = answered.to_vec();
    times.sort();
    times.push(end);
    let spans = times.windows(2).map(|w| (w[0], w[1]));
    spans
        .max_by_key(|(a, b)| b.saturating_duration_since(*a))
        .unwrap_or((end, end))
}
