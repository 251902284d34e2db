//! One backend server, a process of its own. Paths name what a request does:
//!
//! - `/plain/...`, `/status/...`: a short answer after 20 ms.
//! - `/hold/...`: an event stream whose first event comes after [`HOLD`].
//! - `/order/...`: a short answer after 300 ms.
//! - `/order/poison/...`: the server crashes as it begins to run the request.
//! - `/quick/...`: a stream of one event, at once.
//! - `/draft/...`: a stream of [`EVENTS`] events. A run that is resumed sends its head, reads the prompt again
//!   for [`PREFILL`] and goes on after `Last-Event-Id`; its answer has no length and ends with its connection.

use std::io::{self, BufReader, Write};
use std::net::{TcpListener, TcpStream};
use std::path::Path;
use std::thread::{self, sleep};
use std::time::Duration;

use crate::http::{Head, json, read_sized};
use crate::record::Record;

/// The time that an order takes.
const ORDER: Duration = Duration::from_millis(300);
/// The time until the first event of a held request.
const HOLD: Duration = Duration::from_secs(8);
/// The number of events of a stream.
pub const EVENTS: u64 = 10;
/// The time between two events.
const GAP: Duration = Duration::from_millis(100);
/// The time for which a resumed run reads its prompt.
const PREFILL: Duration = Duration::from_millis(400);
/// The time for which a poll of cache events is kept waiting.
const POLL: Duration = Duration::from_millis(800);

/// The server's name and its record.
#[derive(Clone)]
struct Server {
    name: String,
    record: Record,
}

/// Serves until the process is killed. The arguments are the name, the port and the record's path.
pub fn run(args: &[&str]) {
    let [name, port, path] = args else {
        return;
    };
    let listener = TcpListener::bind(format!("127.0.0.1:{port}")).expect("a port");
    let server = Server {
        name: (*name).to_owned(),
        record: Record::open(Path::new(path)).expect("a record"),
    };
    server.record.note(format!("server {name} is up"));
    for stream in listener.incoming().flatten() {
        let server = server.clone();
        thread::spawn(move || server.serve(&stream));
    }
}

impl Server {
    fn serve(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        while let Some(head) = Head::read(&mut reader)? {
            let _ = read_sized(&mut reader, head.length())?;
            let (_, path) = head.target();
            if path.starts_with("/kv-") {
                sleep(POLL);
                let events =
                    "{\"boot_epoch\":1,\"next_page_token\":0,\"lost\":false,\"events\":[]}";
                (&mut &*stream).write_all(&json(200, events))?;
            } else if path == "/report" {
                let report =
                    "{\"models\":[{\"name\":\"m\",\"version\":1}],\"busy\":false,\"seq\":0}";
                (&mut &*stream).write_all(&json(200, report))?;
            } else if !self.run_request(&head, stream)? {
                break;
            }
        }
        Ok(())
    }

    /// Runs a request. Returns whether the connection is kept.
    fn run_request(&self, head: &Head, mut stream: &TcpStream) -> io::Result<bool> {
        let (method, path) = head.target();
        let id = head.get("azureway-attempt-id").unwrap_or("-");
        if head.get("azureway-expect-instance") != Some(&self.name) {
            stream.write_all(&json(421, "{}"))?;
            return Ok(true);
        }
        let resumed: Option<u64> = head.get("last-event-id").and_then(|l| l.parse().ok());
        self.record.note(format!(
            "server {} runs {id} {method} {path} after {resumed:?}",
            self.name
        ));
        let signed = format!(
            "HTTP/1.1 200 OK\r\nAzureway-Attempt-Id: {id}\r\nAzureway-Response-Signature: s-{id}\r\n"
        );
        let stream_head =
            format!("{signed}Content-Type: text/event-stream\r\nAzureway-Weight-Versions: 1\r\n");
        if path.starts_with("/order/poison/") {
            self.record
                .note(format!("server {} crashes on {id}", self.name));
            std::process::exit(1);
        }
        if path.starts_with("/order/") {
            sleep(ORDER);
            self.record.note(format!("server {} ends {id}", self.name));
            let body = format!("the answer to {id}");
            let length = body.len();
            stream
                .write_all(format!("{signed}Content-Length: {length}\r\n\r\n{body}").as_bytes())?;
            return Ok(true);
        }
        if path.starts_with("/plain/") || path.starts_with("/status/") {
            sleep(Duration::from_millis(20));
            let body = format!("the answer to {id}");
            let shown = if method == "HEAD" { "" } else { &body };
            let length = body.len();
            stream
                .write_all(format!("{signed}Content-Length: {length}\r\n\r\n{shown}").as_bytes())?;
            return Ok(true);
        }
        if let Some(last) = resumed {
            stream.write_all(format!("{stream_head}Connection: close\r\n\r\n").as_bytes())?;
            self.record
                .note(format!("server {} has sent the head of {id}", self.name));
            sleep(PREFILL);
            (last + 1..EVENTS).try_for_each(|i| self.send(stream, id, i, false))?;
            return Ok(false);
        }
        if path.starts_with("/quick/") {
            let event = "id: 0\ndata: all\n\n";
            let length = event.len();
            let body = format!(
                "{stream_head}Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{event}\r\n0\r\n\r\n"
            );
            stream.write_all(body.as_bytes())?;
            return Ok(true);
        }
        if path.starts_with("/hold/") {
            sleep(HOLD);
        }
        stream.write_all(format!("{stream_head}Transfer-Encoding: chunked\r\n\r\n").as_bytes())?;
        (0..EVENTS).try_for_each(|i| self.send(stream, id, i, true))?;
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    }

    /// Sends an event of a stream.
    fn send(&self, mut stream: &TcpStream, id: &str, number: u64, chunked: bool) -> io::Result<()> {
        let event = format!("id: {number}\ndata: piece {number} of {id}\n\n");
        let text = match chunked {
            true => format!("{:x}\r\n{event}\r\n", event.len()),
            false => event,
        };
        stream.write_all(text.as_bytes())?;
        self.record
            .note(format!("server {} sends piece {number} of {id}", self.name));
        sleep(GAP);
        Ok(())
    }
}
