//! Tests of the answers of backend servers that reach callers of the product's own interface.

mod attempt;
mod broken_heads;
mod raw_request;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use attempt::{describe_failure, dispatch};
use azureway_config::settings::Bounds;
use azureway_core::prelude::*;
use azureway_entry::admit::UpstreamRequest;
use azureway_entry::caller::AnswerChunk;
use azureway_entry::decide::DecideMessage;
use azureway_entry::relay::{GapMeter, RelayAttempt};
use googletest::prelude::*;
use raw_request::{BODY, read_request};
use socket2::SockRef;

/// The size of a body that no socket buffers whole, in bytes.
const UNREAD_SIZE: usize = 64 * 1024 * 1024;

/// Runs an attempt at `address` with a request body. Returns what its caller received and its outcome.
fn relay(address: SocketAddr, kind: ServiceKind, body: &[u8]) -> (Vec<AnswerChunk>, String) {
    let upstream = UpstreamRequest {
        kind,
        streamed: false,
        method: "POST".into(),
        path: "/a/b?c=d".into(),
        content_type: "text/plain".into(),
        account: AccountId::new("small"),
        idempotency_key: Some(IdempotencyKey::new("key-1")),
        link: Arc::default(),
        body: Arc::from(body),
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
    let (chunks, outcome) = relay(address, kind, BODY);
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
fn a_valid_answer_reaches_its_caller_whole() {
    for answer in [
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
        "HTTP/1.1 200 OK\r\n\r\nok",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\n\r\n",
        "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok",
    ] {
        let (_, chunks, outcome) = exchange(answer.as_bytes(), ServiceKind::Plain);
        let [AnswerChunk::Complete(200, _, body)] = &chunks[..] else {
            panic!("one answer: {answer}");
        };
        expect_that!(body.as_slice(), eq(b"ok"), "{answer}");
        expect_that!(outcome.as_str(), eq("finished"), "{answer}");
    }
}

// Guards against a part of an answer that counts as complete.
#[gtest]
fn an_early_answer_without_a_length_is_incomplete_if_its_connection_is_reset() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let server = thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let read = stream.read_exact(&mut [0; 64]);
        read.expect("a part of the request");
        let sent = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\npart");
        sent.expect("sent");
        // Gives the bytes time to arrive: a reset discards those not yet read.
        thread::sleep(Duration::from_millis(50));
        let reset = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        reset.expect("a reset");
    });
    let (chunks, outcome) = relay(address, ServiceKind::Plain, &vec![b'a'; UNREAD_SIZE]);
    server.join().expect("the server ends");
    expect_that!(chunks.len(), eq(0));
    expect_that!(outcome.as_str(), eq("Broken MaybeRun"));
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
