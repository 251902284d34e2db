//! What the tests over sockets share.
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
/// A good API key.
pub const KEY: &str = "wax-desk-key";

/// Starts one availability zone with `engines` engines that take `interval` a token.
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

/// Posts a body with a good API key and returns the whole answer.
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
        .expect("a guard");
    stream
}

/// Opens a connection and sends a chat request for a stream.
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

/// Sends bytes and returns the text of the whole answer.
pub fn exchange(system: &System, bytes: &[u8], shut: bool) -> String {
    let mut stream = open(system);
    // A refusal may come before all bytes are sent.
    let _ = stream.write_all(bytes);
    if shut {
        let _ = stream.shutdown(Shutdown::Write);
    }
    read_all(&mut stream)
}

/// Reads until the other side closes.
pub fn read_all(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut buffer = [0; 4096];
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        answer.extend_from_slice(&buffer[..count]);
    }
    String::from_utf8(answer).expect("text")
}

/// Reads until `mark` has come, and returns what came.
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

/// Starts a backend server that gives every chat or plain request the same bytes for an
/// answer and hangs up. It ends with the test.
pub fn raw_server(answer: &[u8]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let answer = answer.to_vec();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            raw_answer(stream, &answer);
        }
    });
    address
}

fn raw_answer(mut stream: TcpStream, answer: &[u8]) {
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a guard");
    let mut request = Vec::new();
    let mut buffer = [0; 4096];
    while !is_whole(&request) {
        match stream.read(&mut buffer) {
            Ok(count @ 1..) => request.extend_from_slice(&buffer[..count]),
            _ => return,
        }
    }
    if request.starts_with(b"POST") {
        let _ = stream.write_all(answer);
    }
}

/// Tells whether a request's head and as much body as it declares have come.
fn is_whole(request: &[u8]) -> bool {
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

/// Returns the positions of the events in an answer.
pub fn positions(answer: &str) -> Vec<u64> {
    let ids = answer.lines().filter_map(|l| l.strip_prefix("id: "));
    ids.map(|id| id.parse().expect("a position")).collect()
}
