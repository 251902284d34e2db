//! Tests of the answers of backend servers that reach callers of the product's own interface.

mod attempt;
mod broken_heads;
mod raw_request;

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

use attempt::{describe_failure, dispatch};
use azureway_config::settings::Bounds;
use azureway_core::prelude::*;
use azureway_entry::admit::UpstreamRequest;
use azureway_entry::caller::AnswerChunk;
use azureway_entry::decide::DecideMessage;
use azureway_entry::relay::{GapMeter, RelayAttempt};
use googletest::prelude::*;
use raw_request::{BODY, read_request};

/// Runs an attempt at `address`. Returns what its caller received and its outcome.
fn relay(address: SocketAddr, kind: ServiceKind) -> (Vec<AnswerChunk>, String) {
    let upstream = UpstreamRequest {
        kind,
        streamed: false,
        method: "POST".into(),
        path: "/a/b?c=d".into(),
        content_type: "text/plain".into(),
        account: AccountId::new("small"),
        idempotency_key: Some(IdempotencyKey::new("key-1")),
        link: Arc::default(),
        body: Arc::from(BODY.to_vec()),
        passthrough: None,
    };
    let (chunks, answer) = flume::bounded(64);
    let (decide, reports) = flume::bounded(64);
    let (meter, _metrics) = flume::bounded(64);
    let dispatch = dispatch(address, StreamPosition::ZERO);
    let gap_meter = GapMeter::new(dispatch.rank, meter);
    let (upstream, bounds) = (Arc::new(upstream), Bounds::default());
    RelayAttempt::new(dispatch, upstream, bounds, chunks, decide, gap_meter).run();
    let outcome = reports.iter().find_map(|message| match message {
        DecideMessage::Finished(_) | DecideMessage::Answered(..) => Some("finished".to_owned()),
        DecideMessage::Failed(failure) => Some(describe_failure(&failure)),
        _ => None,
    });
    (answer.iter().collect(), outcome.expect("an outcome"))
}

/// Reads a request, sends `answer` and closes the connection. Returns the request.
fn serve_once(listener: TcpListener, answer: Vec<u8>) -> thread::JoinHandle<String> {
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let request = read_request(&mut stream);
        stream.write_all(&answer).expect("sent");
        // The attempt may have rejected the answer and reset the connection.
        let _ = stream.shutdown(Shutdown::Write);
        request
    })
}

/// Relays `answer`. Returns the request, what the caller received and the outcome.
fn exchange(answer: &[u8], kind: ServiceKind) -> (String, Vec<AnswerChunk>, String) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = serve_once(listener, answer.to_vec());
    let (chunks, outcome) = relay(address, kind);
    (server.join().expect("a request"), chunks, outcome)
}

#[gtest]
fn an_answer_with_a_broken_head_reaches_no_caller() {
    for row in broken_heads::read() {
        let (_, chunks, outcome) = exchange(&row.bytes, ServiceKind::Plain);
        expect_that!(chunks.len(), eq(0), "{}", row.fault);
        expect_that!(outcome.as_str(), eq("Faulty MaybeRun"), "{}", row.fault);
    }
}

// Guards against events that are passed on although the head before them is broken.
#[gtest]
fn a_stream_with_a_broken_head_reaches_no_caller() {
    for head in [
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ncontent length: 40\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nx{\u{1}: 1\r\n\r\n",
        "HTTP/1.1 099 None\r\ncontent-type: text/event-stream\r\n\r\n",
    ] {
        let answer = format!("{head}id: 0\ndata: a\n\nid: 1\ndata: [DONE]\n\n");
        let (_, chunks, outcome) = exchange(answer.as_bytes(), ServiceKind::Model);
        expect_that!(chunks.len(), eq(0), "{head}");
        expect_that!(outcome.as_str(), eq("Faulty MaybeRun"), "{head}");
    }
}

#[gtest]
fn a_request_carries_the_headers_of_its_attempt() {
    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let (request, chunks, outcome) = exchange(answer, ServiceKind::Plain);
    let (head, body) = request.split_once("\r\n\r\n").expect("a head");
    let mut lines = head.split("\r\n");
    expect_that!(lines.next(), some(eq("POST /a/b?c=d HTTP/1.1")));
    let lines: Vec<&str> = lines.collect();
    let expected = [
        "azureway-account: small",
        "azureway-attempt: 0000000000000001-1.1",
        "azureway-cache-salt: 1",
        "azureway-rank: urgent",
        "azureway-resume: 0",
        "azureway-weights: 1",
        "connection: close",
        "content-length: 4",
        "content-type: text/plain",
        "idempotency-key: key-1",
    ];
    for line in expected {
        expect_that!(lines, contains(eq(&line)));
    }
    expect_that!(body.as_bytes(), eq(BODY));
    expect_that!(chunks.len(), eq(1));
    expect_that!(outcome.as_str(), eq("finished"));
}
