//! A request that crashes replicas is stopped, and passed on again after all processes were killed.

use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{Client, request};
use crate::entry::{Entry, Machine};
use crate::http;
use crate::record::Record;
use crate::replica::{attempt_id, signature};
use crate::store::Store;
use crate::{Outcome, Stand, config};

const REPLICAS: usize = 4;
/// How often all processes are killed.
const KILLS: usize = 3;
/// The delay after which the platform starts a process again.
const RESTART: Duration = Duration::from_millis(500);
/// The time for which all is calm before the request comes again: more than `stable_window_ms`.
const CALM: Duration = Duration::from_millis(4_500);
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// The time until a replica that has crashed is back.
const AWAY: Duration = Duration::from_secs(2);
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// The work of an order.
const WORK: Duration = Duration::from_millis(200);
/// The retries that the rule allows, and the crash from which on they count.
const RETRIES: usize = 3;
const CRASHES: usize = 3;
/// The path of the request that crashes a replica that begins to run it.
const POISON: &str = "/status/poison";

/// When the request reached a replica. Each time the replica crashed.
type Crashes = Arc<Mutex<Vec<Instant>>>;

pub fn run(stand: &Stand) -> Outcome {
    let crashes = Crashes::default();
    for number in 0..REPLICAS {
        let replica = CrashingReplica {
            id: format!("i-{number}"),
            store: stand.store.clone(),
            record: stand.record.clone(),
            crashes: Arc::clone(&crashes),
        };
        thread::spawn(move || replica.run());
    }
    stand
        .store
        .put("config", "main", &config(1, "bench-app", ""));
    let names = ["front-kranj-a-1", "front-kranj-a-2"];
    let machine = Machine::small();
    let mut entries = names.map(|n| Entry::start(&stand.dir, n, stand.store.address, &machine));
    if !entries
        .iter()
        .all(|e| e.wait_ready(Duration::from_secs(10)))
    {
        return Outcome::NotRun("an entry is not ready".to_owned());
    }
    let fronts = [entries[0].front, entries[1].front];
    let stop = Arc::new(AtomicBool::new(false));
    let clients = fronts.map(|front| {
        let (record, stop) = (stand.record.clone(), Arc::clone(&stop));
        thread::spawn(move || send_orders(front, &record, &stop))
    });
    let number = AtomicU64::new(0);
    thread::sleep(CALM);
    send_poison(stand, &fronts, &number);
    thread::sleep(CALM);
    send_poison(stand, &fronts, &number);
    for _ in 0..KILLS {
        if stand.trouble {
            stand
                .record
                .line("all processes are killed, and started again");
            entries.iter_mut().for_each(Entry::kill);
            thread::sleep(RESTART);
            entries.iter_mut().for_each(Entry::restart);
        }
        if !entries
            .iter()
            .all(|e| e.wait_ready(Duration::from_secs(10)))
        {
            return Outcome::NotRun("an entry is not ready again".to_owned());
        }
        thread::sleep(CALM);
        send_poison(stand, &fronts, &number);
        thread::sleep(AWAY + Duration::from_secs(1));
    }
    stop.store(true, Ordering::SeqCst);
    let served: usize = clients.into_iter().map(|c| c.join().unwrap_or(0)).sum();
    let crashes = crashes.lock().unwrap();
    let from = crashes.get(CRASHES - 1).map(|third| *third + STABLE_WINDOW);
    let late = from.map_or(0, |from| crashes.iter().filter(|at| **at > from).count());
    stand.record.line(format!(
        "{} crashes; {late} times the request reached a replica over 3 s after its third crash; {served} orders served",
        crashes.len()
    ));
    match late {
        _ if served == 0 => Outcome::NotRun("no order was served".to_owned()),
        _ if crashes.is_empty() => Outcome::NotRun("the request reached no replica".to_owned()),
        late if late > RETRIES => Outcome::Broken,
        _ => Outcome::Held,
    }
}

/// Sends the request that crashes replicas to each machine, as its client does that comes again.
fn send_poison(stand: &Stand, fronts: &[SocketAddr], number: &AtomicU64) {
    for (machine, front) in fronts.iter().enumerate() {
        let id = format!("poison-{}", number.fetch_add(1, Ordering::SeqCst));
        stand
            .record
            .line(format!("a client sends {id} to machine {machine}"));
        let bytes = request("GET", POISON, &id, "Azureway-Deadline-Ms: 3000\r\n", b"");
        let answer = Client::connect(*front).and_then(|mut c| {
            c.send(&bytes)?;
            c.read()
        });
        let status = answer.map_or(0, |a| a.status());
        stand
            .record
            .line(format!("the client gets {status} for {id}"));
    }
}

/// Sends one order after the other. Returns how many got 200.
fn send_orders(front: SocketAddr, record: &Record, stop: &AtomicBool) -> usize {
    let (mut served, mut number) = (0, 0);
    while !stop.load(Ordering::SeqCst) {
        number += 1;
        let id = format!("order-{}-{number}", front.port());
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
        served += usize::from(status == 200);
        if status != 200 {
            record.line(format!("{id} got {status}"));
            thread::sleep(Duration::from_millis(100));
        }
    }
    served
}

/// A replica that crashes when it begins to run a certain request, and is back after some seconds under its
/// ID.
struct CrashingReplica {
    id: String,
    store: Store,
    record: Record,
    crashes: Crashes,
}

impl CrashingReplica {
    fn run(self) {
        let this = Arc::new(self);
        let mut born = 1_790_000_000_000_u64;
        loop {
            born += 10_000;
            Self::live(&this, born);
            thread::sleep(AWAY);
        }
    }

    /// Serves until a request crashes the replica.
    fn live(this: &Arc<Self>, born: u64) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a replica");
        let address = listener.local_addr().expect("address of a replica");
        listener
            .set_nonblocking(true)
            .expect("set the listener to return at once");
        let crashed = Arc::new(AtomicBool::new(false));
        let mut streams: Vec<TcpStream> = Vec::new();
        let (mut seq, mut next_beat) = (0, Instant::now());
        while !crashed.load(Ordering::SeqCst) {
            if Instant::now() >= next_beat {
                seq += 1;
                next_beat = Instant::now() + HEARTBEAT;
                let entry = format!(
                    "{{\"service\":\"bench-app\",\"address\":\"{address}\",\"zone\":\"kranj-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":{born},\"seq\":{seq}}}"
                );
                this.store.put("servers", &this.id, &entry);
            }
            if let Ok((stream, _)) = listener.accept() {
                let _ = stream.set_nonblocking(false);
                streams.extend(stream.try_clone());
                let (this, crashed) = (Arc::clone(this), Arc::clone(&crashed));
                thread::spawn(move || this.serve(stream, &crashed));
            }
            thread::sleep(Duration::from_millis(2));
        }
        drop(listener);
        for stream in streams {
            let _ = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream, crashed: &AtomicBool) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            if crashed.load(Ordering::SeqCst) {
                return;
            }
            let id = attempt_id(&request);
            if request
                .header("azureway-expect-instance")
                .is_some_and(|e| e != self.id)
            {
                let _ = writer
                    .write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if request.word(1) == POISON {
                self.record.line(format!(
                    "replica {} begins to run {id} and crashes",
                    self.id
                ));
                self.crashes.lock().unwrap().push(Instant::now());
                crashed.store(true, Ordering::SeqCst);
                return;
            }
            thread::sleep(WORK);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nAzureway-Attempt-Id: {id}\r\nAzureway-Response-Signature: {}\r\nContent-Length: 6\r\n\r\nbooked",
                signature(&self.id, id)
            );
            if crashed.load(Ordering::SeqCst) || writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }
}
