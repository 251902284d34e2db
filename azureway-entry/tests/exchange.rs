//! Tests of the outcome of an attempt for good and faulty answers of a backend server.

mod attempt;
mod broken_heads;
mod dialect;
mod raw_request;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use attempt::{describe_failure, dispatch};
use azureway_core::prelude::*;
use azureway_entry::admit::{Passthrough, UpstreamRequest};
use azureway_entry::caller::{AnswerChunk, CallerLink};
use azureway_entry::clock::Clock;
use azureway_entry::decide::DecideMessage;
use azureway_entry::exchange::{BodyMemory, CancelHandle, ConnectionPool, ExchangeAttempt};
use dialect::TestDialect;
use flume::Receiver;
use googletest::prelude::*;
use raw_request::{BODY, read_request};
use socket2::SockRef;

/// The caller's attempt ID in every case.
const ATTEMPT: &str = "attempt-1";
/// The read timeout of the attempt.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// The bound on a wait, so that a failing test cannot hang. No result depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The size of a body that no socket buffers whole, in bytes.
const UNREAD_SIZE: usize = 64 * 1024 * 1024;

/// The rings of an attempt's answer and of its reports, and its handle.
type Started = (
    Receiver<AnswerChunk>,
    Receiver<DecideMessage>,
    Arc<CancelHandle>,
);

/// Starts an attempt at `address`.
fn start_attempt(address: SocketAddr, pool: &ConnectionPool, once: bool, position: u64) -> Started {
    let dispatch = dispatch(address, StreamPosition::new(position));
    start_dispatch(dispatch, pool, once)
}

fn start_dispatch(dispatch: Dispatch, pool: &ConnectionPool, once: bool) -> Started {
    start_exchange(dispatch, pool, once, TEST_TIMEOUT)
}

fn start_exchange(
    dispatch: Dispatch,
    pool: &ConnectionPool,
    once: bool,
    resend_limit: Duration,
) -> Started {
    let deadline = Clock::new().now() + TEST_TIMEOUT;
    start_upstream(dispatch, upstream(once, deadline), pool, resend_limit)
}

fn start_upstream(
    dispatch: Dispatch,
    upstream: UpstreamRequest,
    pool: &ConnectionPool,
    resend_limit: Duration,
) -> Started {
    let (chunks, answer) = flume::bounded(64);
    let (decide, reports) = flume::bounded(64);
    let (clock, handle) = (Clock::new(), Arc::new(CancelHandle::new()));
    let position = dispatch.position;
    let exchange = ExchangeAttempt {
        dispatch,
        upstream: Arc::new(upstream),
        chunks,
        decide,
        dialect: TestDialect,
        pool: pool.clone(),
        memory: BodyMemory::new(),
        handle: Arc::clone(&handle),
        connect_timeout: Duration::from_secs(1),
        resend_limit,
        clock,
        next_position: position,
        output: TokenCount::ZERO,
    };
    thread::spawn(move || exchange.run());
    (answer, reports, handle)
}

fn upstream(once: bool, deadline: Timestamp) -> UpstreamRequest {
    UpstreamRequest {
        kind: ServiceKind::Plain,
        streamed: false,
        method: "POST".into(),
        path: "/a/b?c=d".into(),
        content_type: "".into(),
        account: AccountId::new("small"),
        idempotency_key: None,
        link: Arc::default(),
        body: Arc::from(BODY.to_vec()),
        passthrough: Some(Passthrough {
            attempt_id: Some(ATTEMPT.into()),
            once,
            headers: vec![
                ("host".into(), "one".into()),
                ("last-event-id".into(), "9".into()),
            ],
            priority: 3,
            deadline,
            read_timeout: READ_TIMEOUT,
            max_attempts: 2,
        }),
    }
}

/// Accepts a connection, reads the request and runs `script` of the server. Returns the connection
/// and the request.
fn serve(listener: &TcpListener, script: &str) -> (TcpStream, String) {
    let (mut stream, _) = listener.accept().expect("a connection");
    let request = read_request(&mut stream);
    run_script(&mut stream, script);
    (stream, request)
}

fn run_script(stream: &mut TcpStream, script: &str) {
    let script = script.trim();
    let (text, end) = script.rsplit_once(' ').unwrap_or(("", script));
    let text = text
        .replace('~', "\r\n")
        .replace('#', "\n")
        .replace("{}", ATTEMPT);
    stream.write_all(text.as_bytes()).expect("sent");
    match end {
        "close" => match stream.shutdown(std::net::Shutdown::Write) {
            // The attempt has rejected the answer and reset the connection before.
            Err(e) if e.kind() == std::io::ErrorKind::NotConnected => {}
            closed => closed.expect("closed"),
        },
        "reset" => {
            // Gives the bytes time to arrive: a reset discards those not yet read.
            thread::sleep(Duration::from_millis(50));
            let reset = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
            reset.expect("a reset");
            *stream = TcpStream::connect(stream.local_addr().expect("an address"))
                .expect("a connection in its place");
        }
        "hold" => {}
        word => panic!("unknown end {word}"),
    }
}

/// Waits until the connection is closed or reset. Returns whether no byte came before.
fn is_closed(stream: &mut TcpStream) -> bool {
    match stream.read(&mut [0]) {
        Ok(count) => count == 0,
        Err(e) => e.kind() == std::io::ErrorKind::ConnectionReset,
    }
}

/// Returns a chunk in the notation of the table.
fn describe(chunk: &AnswerChunk) -> String {
    match chunk {
        AnswerChunk::Forwarded(_, body) => format!("full {}", String::from_utf8_lossy(body)),
        AnswerChunk::Fallback(head, _) => format!("held {}", head.status),
        AnswerChunk::StreamHead(_) => "head".to_owned(),
        AnswerChunk::StreamBytes(bytes) => {
            format!(
                "bytes {}",
                String::from_utf8_lossy(bytes).replace('\n', "#")
            )
        }
        AnswerChunk::End => "end".to_owned(),
        other => format!("{other:?}"),
    }
}

/// Returns the reported outcome in the notation of the table.
fn outcome(reports: &Receiver<DecideMessage>) -> String {
    let outcome = reports.iter().find_map(|message| match message {
        DecideMessage::Finished(_) => Some("finished".to_owned()),
        DecideMessage::Failed(failure) => Some(describe_failure(&failure)),
        _ => None,
    });
    outcome.unwrap_or_else(|| "nothing".to_owned())
}

/// Joins chunks, and merges the bytes of events: how many reads they arrive in varies.
fn join_chunks(chunks: &[String]) -> String {
    let text = chunks.join("; ");
    text.replace("##; bytes ", "##")
}

#[gtest]
fn each_answer_has_the_outcome_in_the_table() {
    for line in include_str!("../testdata/exchange.txt").lines() {
        if line.starts_with('#') {
            continue;
        }
        let cells: Vec<&str> = line.split('|').map(str::trim).collect();
        let [fault, script, received, end] = cells[..] else {
            panic!("four cells: {line}");
        };
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (answer, reports, _) = start_attempt(address, &ConnectionPool::new(8), true, 0);
        let (_stream, _) = serve(&listener, script);
        let chunks: Vec<String> = answer.iter().map(|c| describe(&c)).collect();
        expect_that!(join_chunks(&chunks).as_str(), eq(received), "{fault}");
        expect_that!(outcome(&reports).as_str(), eq(end), "{fault}");
    }
}

/// The answer of a server that keeps the connection.
const GOOD: &str = "HTTP/1.1 200 OK~x-sign: 1~content-length: 2~~ok hold";

/// Sends a request on a connection that `pool` keeps, if `kept`, or else on a new one. Returns the server's
/// side of the connection and the attempt.
fn receive_on(listener: &TcpListener, pool: &ConnectionPool, kept: bool) -> (TcpStream, Started) {
    let address = listener.local_addr().expect("an address");
    if !kept {
        let started = start_attempt(address, pool, true, 0);
        return (serve(listener, "hold").0, started);
    }
    let (answer, reports, _) = start_attempt(address, pool, true, 0);
    let (mut stream, _) = serve(listener, GOOD);
    answer.iter().for_each(drop);
    outcome(&reports);
    let started = start_attempt(address, pool, true, 0);
    read_request(&mut stream);
    (stream, started)
}

#[gtest]
fn an_answer_with_a_broken_head_reaches_no_caller() {
    for row in broken_heads::read() {
        for kept in [false, true] {
            let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
            let pool = ConnectionPool::new(8);
            let (mut stream, (answer, reports, _)) = receive_on(&listener, &pool, kept);
            stream.write_all(&row.bytes).expect("sent");
            run_script(&mut stream, "close");
            let chunks: Vec<String> = answer.iter().map(|c| describe(&c)).collect();
            let (fault, end) = (row.fault, outcome(&reports));
            expect_that!(chunks, is_empty(), "{fault}, kept: {kept}");
            expect_that!(end.as_str(), eq("Broken MaybeRun"), "{fault}, kept: {kept}");
        }
    }
}

#[gtest]
fn a_request_is_sent_unchanged_with_the_headers_of_the_dialect() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (_answer, _reports, _) = start_attempt(address, &ConnectionPool::new(8), true, 0);
    let (_stream, request) = serve(&listener, GOOD);
    expect_that!(
        request.as_str(),
        starts_with("POST /a/b?c=d HTTP/1.1\r\nhost: one\r\n")
    );
    expect_that!(request.as_str(), contains_substring("last-event-id: 9\r\n"));
    expect_that!(
        request.as_str(),
        contains_substring("content-length: 4\r\n")
    );
    expect_that!(request.as_str(), contains_substring("x-server: s\r\n"));
}

#[gtest]
fn a_resumed_stream_asks_for_the_missing_events_and_forwards_none_twice() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (answer, reports, _) = start_attempt(address, &ConnectionPool::new(8), false, 5);
    let script = "HTTP/1.1 200 OK~x-sign: 1~content-type: text/event-stream~~\
                  id: 4#data: a##id: 8#data: b## close";
    let (_stream, request) = serve(&listener, script);
    expect_that!(request.as_str(), contains_substring("last-event-id: 4\r\n"));
    expect_that!(
        request.as_str(),
        not(contains_substring("last-event-id: 9"))
    );
    let chunks: Vec<String> = answer.iter().map(|c| describe(&c)).collect();
    expect_that!(
        join_chunks(&chunks).as_str(),
        eq("head; bytes id: 8#data: b##; end")
    );
    expect_that!(outcome(&reports).as_str(), eq("finished"));
}

// Guards against another answer in the middle of a stream, whose caller has received a part.
#[gtest]
fn a_resumed_stream_goes_on_with_no_other_answer() {
    for script in [
        "HTTP/1.1 404 None~x-sign: 1~content-length: 2~~no hold",
        "HTTP/1.1 200 OK~x-sign: 1~content-length: 2~~no hold",
    ] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (answer, reports, _) = start_attempt(address, &ConnectionPool::new(8), false, 5);
        let _stream = serve(&listener, script);
        expect_that!(answer.iter().count(), eq(0), "{script}");
        expect_that!(
            outcome(&reports).as_str(),
            eq("Faulty MaybeRun 5"),
            "{script}"
        );
    }
}

#[gtest]
fn a_connection_is_pooled_only_if_it_can_be_reused() {
    let rows = [
        ("HTTP/1.1 200 OK~x-sign: 1~content-length: 2~~ok hold", true),
        (
            "HTTP/1.1 200 OK~x-sign: 1~connection: close~content-length: 2~~ok hold",
            false,
        ),
        (
            "HTTP/1.1 200 OK~x-sign: 1~keep-alive: timeout=0~content-length: 2~~ok hold",
            false,
        ),
        (
            "HTTP/1.1 200 OK~x-sign: 1~keep-alive: timeout=9~content-length: 2~~ok hold",
            true,
        ),
        (
            "HTTP/1.1 200 OK~x-sign: 1~content-length: 2~~okmore hold",
            false,
        ),
        (
            "HTTP/1.1 503 Full~x-not-run: 1~content-length: 0~~ hold",
            true,
        ),
        ("HTTP/1.1 200 OK~x-sign: 1~~ok close", false),
    ];
    for (script, pooled) in rows {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let pool = ConnectionPool::new(8);
        let (answer, reports, _) = start_attempt(address, &pool, false, 0);
        let (_stream, _) = serve(&listener, script);
        answer.iter().for_each(drop);
        outcome(&reports);
        expect_that!(pool.take(address, false).is_some(), eq(pooled), "{script}");
    }
}

/// Each row: whether the request may run only once, and its outcome on a pooled connection that the
/// server closes without an answer.
#[gtest]
fn a_request_on_a_closed_connection_is_resent_only_if_it_may_run_twice() {
    for (once, expected) in [(false, "finished"), (true, "Broken MaybeRun")] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let pool = ConnectionPool::new(8);
        let (answer, reports, _) = start_attempt(address, &pool, once, 0);
        let (mut pooled, _) = serve(&listener, GOOD);
        answer.iter().for_each(drop);
        outcome(&reports);
        let (answer, reports, _) = start_attempt(address, &pool, once, 0);
        read_request(&mut pooled);
        run_script(&mut pooled, "close");
        let second = thread::spawn(move || {
            if !once {
                serve(&listener, GOOD);
            }
        });
        answer.iter().for_each(drop);
        expect_that!(outcome(&reports).as_str(), eq(expected), "once: {once}");
        second.join().expect("the server's side");
    }
}

/// Guards against a request that is sent again past the router's holds and budget, after a server that
/// may have worked on it broke the connection, and against one that may have run and is said to be
/// unsent. Each row: the fault, the time within which a request is sent again, whether the server still
/// accepts connections, and the outcome. The request reaches the server once in each.
#[gtest]
fn a_request_that_may_have_run_is_left_to_the_router() {
    let rows = [
        ("a late break", Duration::ZERO, true, "Broken MaybeRun"),
        (
            "a late break and no listener",
            Duration::ZERO,
            false,
            "Broken MaybeRun",
        ),
        (
            "a break and no listener",
            TEST_TIMEOUT,
            false,
            "Broken MaybeRun",
        ),
    ];
    for (fault, limit, listens, expected) in rows {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let pool = ConnectionPool::new(8);
        let (answer, reports, _) = start_attempt(address, &pool, false, 0);
        let (mut kept, _) = serve(&listener, GOOD);
        answer.iter().for_each(drop);
        outcome(&reports);
        let dispatch = dispatch(address, StreamPosition::ZERO);
        let (answer, reports, _) = start_exchange(dispatch, &pool, false, limit);
        read_request(&mut kept);
        let listener = Some(listener).filter(|_| listens);
        run_script(&mut kept, "close");
        answer.iter().for_each(drop);
        expect_that!(outcome(&reports).as_str(), eq(expected), "{fault}");
        if let Some(listener) = listener {
            listener.set_nonblocking(true).expect("nonblocking");
            expect_that!(listener.accept().is_err(), eq(true), "{fault}");
        }
    }
}

// Guards against a server that writes an earlier refusal once more: taken for the answer to the next
// sending, it says that the request has not run although it runs.
#[gtest]
fn a_refused_request_is_sent_again_on_another_connection() {
    let refusal = "HTTP/1.1 503 Full~x-not-run: 1~x-attempt: attempt-1~content-length: 0~~ hold";
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let pool = ConnectionPool::new(8);
    let (answer, reports, _) = start_attempt(address, &pool, true, 0);
    let (mut refused, _) = serve(&listener, refusal);
    answer.iter().for_each(drop);
    expect_that!(outcome(&reports).as_str(), eq("Busy Rejected"));
    let (answer, reports, _) = start_attempt(address, &pool, true, 0);
    thread::spawn(move || {
        if refused.peek(&mut [0]).is_ok_and(|count| count > 0) {
            read_request(&mut refused);
            run_script(&mut refused, refusal);
        }
    });
    thread::spawn(move || serve(&listener, GOOD));
    answer.iter().for_each(drop);
    expect_that!(outcome(&reports).as_str(), eq("finished"));
}

// Guards against a caller that gets the answer to another caller's request: a late second copy of it
// precedes the rejection of a request that the server does not read to its end.
#[gtest]
fn an_early_answer_to_another_request_is_skipped() {
    let other = "HTTP/1.1 200 OK~x-sign: 1~x-attempt: other~content-length: 5~~other";
    let rejection = "HTTP/1.1 503 Full~x-not-run: 1~x-attempt: {}~connection: close~\
                     content-length: 0~~";
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let pool = ConnectionPool::new(8);
    let (answer, reports, _) = start_attempt(address, &pool, true, 0);
    let (mut kept, _) = serve(&listener, GOOD);
    answer.iter().for_each(drop);
    outcome(&reports);
    let long = UpstreamRequest {
        body: Arc::from(vec![b'a'; UNREAD_SIZE]),
        ..upstream(true, Clock::new().now() + TEST_TIMEOUT)
    };
    let dispatch = dispatch(address, StreamPosition::ZERO);
    let (answer, reports, _) = start_upstream(dispatch, long, &pool, TEST_TIMEOUT);
    kept.read_exact(&mut [0; 64])
        .expect("a part of the request");
    run_script(&mut kept, &format!("{other}{rejection} hold"));
    let chunks: Vec<String> = answer.iter().map(|c| describe(&c)).collect();
    expect_that!(chunks, is_empty());
    expect_that!(outcome(&reports).as_str(), eq("Busy Rejected"));
}

/// Starts an attempt whose request no socket buffers whole, and runs `script` of a server that reads only
/// the beginning of it.
fn answer_early(listener: &TcpListener, script: &str) -> (TcpStream, Started) {
    let long = UpstreamRequest {
        body: Arc::from(vec![b'a'; UNREAD_SIZE]),
        ..upstream(true, Clock::new().now() + TEST_TIMEOUT)
    };
    let address = listener.local_addr().expect("an address");
    let dispatch = dispatch(address, StreamPosition::ZERO);
    let started = start_upstream(dispatch, long, &ConnectionPool::new(8), TEST_TIMEOUT);
    let (mut stream, _) = listener.accept().expect("a connection");
    let read = stream.read_exact(&mut [0; 64]);
    read.expect("a part of the request");
    run_script(&mut stream, script);
    (stream, started)
}

// Guards against a part of an answer that counts as complete: the error of the connection is reported to
// the write that fails, and later reads return the end of the connection.
#[gtest]
fn an_early_answer_without_a_length_is_incomplete_if_its_connection_is_reset() {
    const STREAM: &str = "x-sign: 1~content-type: text/event-stream";
    let rows = [
        ("HTTP/1.1 200 OK~x-sign: 1~~par", "", "Broken MaybeRun"),
        ("HTTP/1.1 404 None~x-sign: 1~~par", "", "Broken MaybeRun"),
        ("HTTP/1.1 500 Error~x-sign: 1~~par", "", "Broken MaybeRun"),
        (
            &format!("HTTP/1.1 200 OK~{STREAM}~~id: 0#data: a##"),
            "head; bytes id: 0#data: a##",
            "Broken MaybeRun 1",
        ),
        ("HTTP/1.1 503 Full~x-not-run: 1~~par", "", "Busy Rejected"),
        (
            "HTTP/1.1 200 OK~x-sign: 1~content-length: 2~~ok",
            "full ok",
            "finished",
        ),
    ];
    for (text, received, end) in rows {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (_stream, (answer, reports, _)) = answer_early(&listener, &format!("{text} reset"));
        let chunks: Vec<String> = answer.iter().map(|c| describe(&c)).collect();
        expect_that!(join_chunks(&chunks).as_str(), eq(received), "{text}");
        expect_that!(outcome(&reports).as_str(), eq(end), "{text}");
    }
}

// Guards against the loss of a complete answer. A server that ends its answer and then closes the
// connection without having read the request sends a reset after the end.
#[gtest]
fn an_early_answer_without_a_length_is_complete_if_its_connection_ends_before_the_reset() {
    let script = "HTTP/1.1 200 OK~x-sign: 1~~ok close";
    for resets in [true, false] {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let (stream, (answer, reports, _)) = answer_early(&listener, script);
        let _open = (!resets).then_some(stream);
        let chunks: Vec<String> = answer.iter().map(|c| describe(&c)).collect();
        expect_that!(chunks, elements_are![eq("full ok")], "{resets}");
        expect_that!(outcome(&reports).as_str(), eq("finished"), "{resets}");
    }
}

#[gtest]
fn a_request_to_an_unreachable_server_is_unsent() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    drop(listener);
    let (_answer, reports, _) = start_attempt(address, &ConnectionPool::new(8), true, 0);
    expect_that!(outcome(&reports).as_str(), eq("Unreachable Unsent"));
}

#[gtest]
fn a_cancelled_attempt_closes_its_connection_and_reports_nothing() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (answer, reports, handle) = start_attempt(address, &ConnectionPool::new(8), true, 0);
    let (mut stream, _) = serve(&listener, "hold");
    handle.cancel();
    expect_that!(is_closed(&mut stream), eq(true));
    expect_that!(answer.iter().count(), eq(0));
    expect_that!(outcome(&reports).as_str(), eq("nothing"));
}

// Guards against a request that reaches its server after its caller has left: the bytes that a slow link
// or server holds up are sent on after the connection is closed.
#[gtest]
fn the_unsent_part_of_a_cancelled_request_is_discarded() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let small = SockRef::from(&listener).set_recv_buffer_size(4 * 1024);
    small.expect("a small buffer");
    let address = listener.local_addr().expect("an address");
    let long = UpstreamRequest {
        body: Arc::from(vec![b'a'; UNREAD_SIZE]),
        ..upstream(true, Clock::new().now() + TEST_TIMEOUT)
    };
    let dispatch = dispatch(address, StreamPosition::ZERO);
    let pool = ConnectionPool::new(8);
    let (_answer, reports, handle) = start_upstream(dispatch, long, &pool, TEST_TIMEOUT);
    let (mut stream, _) = listener.accept().expect("a connection");
    stream
        .read_exact(&mut [0; 64])
        .expect("a part of the request");
    handle.cancel();
    expect_that!(outcome(&reports).as_str(), eq("nothing"));
    let end = stream.read_to_end(&mut Vec::new());
    expect_that!(end.is_err(), eq(true), "the rest of the request arrived");
}

/// Returns a request with the link to its caller.
fn linked_request() -> (Arc<CallerLink>, UpstreamRequest) {
    let request = upstream(false, Clock::new().now() + TEST_TIMEOUT);
    (Arc::clone(&request.link), request)
}

// Guards against a request that is sent although its caller has left, while the deciding duty is behind.
#[gtest]
fn a_caller_that_has_left_stops_its_attempt_without_the_deciding_duty() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let pool = ConnectionPool::new(8);
    let (link, request) = linked_request();
    let dispatch_one = || dispatch(address, StreamPosition::ZERO);
    let (_answer, reports, _) = start_upstream(dispatch_one(), request, &pool, TEST_TIMEOUT);
    let (mut stream, _) = serve(&listener, "hold");
    link.disconnect();
    expect_that!(is_closed(&mut stream), eq(true));
    expect_that!(outcome(&reports).as_str(), eq("nothing"));
    expect_that!(link.since_disconnect(), some(anything()));

    let (link, request) = linked_request();
    link.disconnect();
    let (_answer, reports, _) = start_upstream(dispatch_one(), request, &pool, TEST_TIMEOUT);
    expect_that!(outcome(&reports).as_str(), eq("nothing"));
    listener.set_nonblocking(true).expect("nonblocking");
    expect_that!(listener.accept().is_err(), eq(true));
}

// Guards against an incomplete answer that is passed on as complete: cancelling closes the
// connection, with which some bodies end.
#[gtest]
fn a_cancelled_attempt_does_not_complete_an_answer_that_ends_with_its_connection() {
    let rows = [
        "HTTP/1.1 200 OK~x-sign: 1~content-type: text/event-stream~~id: 0#data: a## hold",
        "HTTP/1.1 200 OK~x-sign: 1~~ok hold",
    ];
    for script in rows {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (answer, reports, handle) = start_attempt(address, &ConnectionPool::new(8), true, 0);
        let (_stream, _) = serve(&listener, script);
        let begun = reports.recv_timeout(TEST_TIMEOUT);
        expect_that!(matches!(begun, Ok(DecideMessage::Started(_))), eq(true));
        handle.cancel();
        let chunks: Vec<String> = answer.iter().map(|c| describe(&c)).collect();
        let complete = |c: &&String| c.starts_with("full") || c.as_str() == "end";
        expect_that!(chunks.iter().find(complete), none(), "{script}");
        expect_that!(outcome(&reports).as_str(), eq("nothing"), "{script}");
    }
}

/// Guards against a recalled attempt that goes on in its server, and one whose request is then lost.
#[gtest]
fn a_recalled_attempt_closes_its_connection_and_reports_that_it_may_have_run() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (answer, reports, handle) = start_attempt(address, &ConnectionPool::new(8), false, 0);
    let (mut stream, _) = serve(&listener, "hold");
    handle.recall(RecallCause::Outdated(WeightsVersion::new(1)));
    expect_that!(is_closed(&mut stream), eq(true));
    expect_that!(answer.iter().count(), eq(0));
    expect_that!(outcome(&reports).as_str(), eq("Recalled MaybeRun"));
}

/// Guards against a stream that is cut at a sound server because its part is suspected of crashes. It is
/// still recalled if its server may soon no longer answer.
#[gtest]
fn an_attempt_whose_server_has_sent_its_head_is_recalled_only_for_its_weights() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (answer, reports, handle) = start_attempt(address, &ConnectionPool::new(8), false, 0);
    let head = "HTTP/1.1 200 OK~x-sign: 1~content-type: text/event-stream~~";
    let (mut stream, _) = serve(&listener, &format!("{head} hold"));
    while !handle.is_answered() {
        thread::sleep(Duration::from_millis(1));
    }
    handle.recall(RecallCause::Quarantined);
    expect_that!(handle.is_recalled(), eq(false));
    handle.recall(RecallCause::Outdated(WeightsVersion::new(1)));
    expect_that!(is_closed(&mut stream), eq(true));
    expect_that!(answer.iter().count(), eq(0));
    expect_that!(outcome(&reports).as_str(), eq("Recalled MaybeRun"));
}

/// Guards against an event that reaches the caller twice: its answer begins as the attempt is recalled.
#[gtest]
fn an_attempt_whose_answer_has_begun_is_not_recalled() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let (answer, reports, handle) = start_attempt(address, &ConnectionPool::new(8), false, 0);
    let head = "HTTP/1.1 200 OK~x-sign: 1~content-type: text/event-stream~~";
    let (mut stream, _) = serve(&listener, &format!("{head}id: 0#data: a## hold"));
    let begun = reports.recv_timeout(TEST_TIMEOUT);
    expect_that!(matches!(begun, Ok(DecideMessage::Started(_))), eq(true));
    handle.recall(RecallCause::Outdated(WeightsVersion::new(1)));
    stream.write_all(b"id: 1\ndata: b\n\n").expect("the event");
    drop(stream);
    let chunks: Vec<String> = answer.iter().map(|c| describe(&c)).collect();
    expect_that!(chunks.last(), some(eq("end")));
    expect_that!(outcome(&reports).as_str(), eq("finished"));
}

/// Returns the pauses that an attempt reports before its outcome, each with the incarnation that asked
/// for it.
fn pauses(reports: &Receiver<DecideMessage>) -> Vec<(Duration, Option<u64>)> {
    let messages = reports
        .iter()
        .take_while(|m| !matches!(m, DecideMessage::Finished(_) | DecideMessage::Failed(_)));
    let notices = messages.filter_map(|message| match message {
        DecideMessage::Paused(notice) => Some(notice),
        _ => None,
    });
    let read = |n: PauseNotice| (n.pause.duration(), n.incarnation.map(Incarnation::get));
    notices.map(read).collect()
}

/// Guards against a pause that is heard of only after the decision about its request, or that is read
/// from an answer that rejects nothing or belongs to another request.
#[gtest]
fn a_pause_is_reported_before_the_outcome_of_its_request() {
    let rows = [
        (
            "503 Full~x-not-run: 1~x-pause: 2~content-length: 0~~",
            Some(2),
        ),
        (
            "503 Full~x-sign: 1~x-pause: 3~content-length: 2~~no",
            Some(3),
        ),
        ("503 Full~x-not-run: 1~content-length: 0~~", None),
        ("200 OK~x-sign: 1~x-pause: 2~content-length: 2~~ok", None),
        ("429 Many~x-not-run: 1~x-pause: 2~content-length: 0~~", None),
        (
            "503 Full~x-attempt: other~x-pause: 2~content-length: 0~~\
             HTTP/1.1 200 OK~x-sign: 1~x-attempt: {}~content-length: 2~~ok",
            None,
        ),
    ];
    for (answer, seconds) in rows {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (chunks, reports, _) = start_attempt(address, &ConnectionPool::new(8), true, 0);
        let (_stream, _) = serve(&listener, &format!("HTTP/1.1 {answer} hold"));
        chunks.iter().for_each(drop);
        let expected: Vec<_> = seconds
            .map(|s| (Duration::from_secs(s), None))
            .into_iter()
            .collect();
        expect_that!(pauses(&reports), eq(&expected), "{answer}");
    }
}

/// Guards against a process that is about to end and speaks for the one that follows it, over a
/// connection that was kept.
#[gtest]
fn a_connection_to_an_earlier_incarnation_is_not_used_again() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let pool = ConnectionPool::new(8);
    let at = |incarnation| Dispatch {
        incarnation: Some(Incarnation::new(incarnation)),
        ..dispatch(address, StreamPosition::ZERO)
    };
    let (answer, reports, _) = start_dispatch(at(1), &pool, false);
    let (_kept, _) = serve(&listener, GOOD);
    answer.iter().for_each(drop);
    outcome(&reports);
    let (answer, reports, _) = start_dispatch(at(2), &pool, false);
    let pause = "HTTP/1.1 503 Full~x-not-run: 1~x-pause: 2~content-length: 0~~ hold";
    thread::spawn(move || serve(&listener, pause));
    answer.iter().for_each(drop);
    let expected = vec![(Duration::from_secs(2), Some(2))];
    expect_that!(pauses(&reports), eq(&expected));
}
