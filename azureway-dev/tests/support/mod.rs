//! Helpers for the tests over sockets.
#![expect(unreachable_pub, reason = "a test's module has no outside")]
#![allow(dead_code, reason = "each test uses a part of it")]

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

use azureway_config::settings::Bounds;
use azureway_dev::engine::EngineConfig;
use azureway_dev::serve::{Layout, System};

/// The bound on a wait, so that a failing test cannot hang. No passing test depends on its value.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);
/// A valid API key.
pub const KEY: &str = "wax-desk-key";

/// Starts a system of one availability zone with `engines` engines that take `interval` per token.
pub fn system(engines: usize, interval: Duration, bounds: &Bounds) -> System {
    let layout = Layout::new()
        .with_zones(&["kranj-a"])
        .with_engines(engines)
        .with_entries(1);
    let engine = EngineConfig::new().with_token_interval(interval);
    let system = System::start(&layout, &engine, bounds).expect("the system starts");
    system.wait_ready();
    system
}

/// Posts a body with a valid API key and returns the answer.
pub fn post(system: &System, path: &str, body: &str) -> minreq::Response {
    let url = format!("http://{}{path}", system.addresses()[0]);
    let request = minreq::post(url)
        .with_timeout(TEST_TIMEOUT.as_secs())
        .with_body(body);
    request
        .with_header("authorization", format!("Bearer {KEY}"))
        .send()
        .expect("an answer")
}

/// Returns the body of a chat request for `tokens` tokens.
pub fn chat(stream: bool, tokens: u64) -> String {
    format!(
        r#"{{"model":"advice","stream":{stream},"max_tokens":{tokens},
            "messages":[{{"role":"system","content":"House rules"}}]}}"#
    )
}

/// Opens a connection to the first entry instance.
pub fn open(system: &System) -> TcpStream {
    open_at(system.addresses()[0])
}

/// Opens a connection to an address.
pub fn open_at(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a timeout");
    stream
}

/// Opens a connection and sends a request for a stream of `tokens` tokens.
pub fn open_chat(system: &System, tokens: u64) -> TcpStream {
    let (mut stream, body) = (open(system), chat(true, tokens));
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer {KEY}\r\n\
         content-length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("sent");
    stream.write_all(body.as_bytes()).expect("sent");
    stream
}

/// Sends bytes, closes the sending side if `shut`, and returns the text of the answer.
pub fn exchange(system: &System, bytes: &[u8], shut: bool) -> String {
    let mut stream = open(system);
    // The entry instance may refuse the request and close before all bytes are sent.
    let _ = stream.write_all(bytes);
    if shut {
        let _ = stream.shutdown(Shutdown::Write);
    }
    read_all(&mut stream)
}

/// Reads until the peer closes the connection.
pub fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        answer.extend_from_slice(&buffer[..count]);
    }
    String::from_utf8(answer).expect("text")
}

/// Reads until the text contains `mark` and returns it.
pub fn read_until(stream: &mut TcpStream, mark: &str) -> String {
    let mut answer = String::new();
    let mut buffer = [0; 4096];
    while !answer.contains(mark) {
        let count = stream.read(&mut buffer).expect("more of the answer");
        assert_ne!(count, 0, "the answer ended before {mark:?}: {answer}");
        answer.push_str(std::str::from_utf8(&buffer[..count]).expect("text"));
    }
    answer
}

/// Starts a backend server that answers every POST request with the same bytes and closes the
/// connection. It runs until the test process ends.
pub fn raw_server(answer: &[u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let answer = answer.to_vec();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            answer_raw(stream, &answer);
        }
    });
    address
}

fn answer_raw(mut stream: TcpStream, answer: &[u8]) {
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a timeout");
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    while !is_complete(&request) {
        match stream.read(&mut buffer) {
            Ok(count @ 1..) => request.extend_from_slice(&buffer[..count]),
            _ => return,
        }
    }
    if request.starts_with(b"POST") {
        let _ = stream.write_all(answer);
    }
}

/// Returns whether a request's head and a body of the declared length have arrived.
fn is_complete(request: &[u8]) -> bool {
    let text = String::from_utf8_lossy(request).to_lowercase();
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head
        .split("content-length: ")
        .nth(1)
        .and_then(|r| r.lines().next());
    let length: usize = length.and_then(|l| l.parse().ok()).unwrap_or(0);
    body.len() >= length
}

/// Returns the positions of the events in a streamed answer.
pub fn positions(answer: &str) -> Vec<u64> {
    let ids = answer.lines().filter_map(|l| l.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("a position")).collect()
}
