//! Tests of answers without an end: a backend server in trouble may send bytes until its caller
//! closes the connection.

mod attempt;
mod dialect;
mod load_order;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use attempt::{describe_failure, dispatch};
use azureway_core::prelude::*;
use azureway_dev::http::EndlessServer;
use azureway_entry::admit::{Passthrough, UpstreamRequest};
use azureway_entry::clock::Clock;
use azureway_entry::decide::DecideMessage;
use azureway_entry::exchange::{
    BackendConnection, BodyMemory, CancelHandle, ConnectionPool, ExchangeAttempt,
};
use azureway_entry::feed::{FeedSource, HttpFeed};
use azureway_entry::memory::MemoryHold;
use azureway_entry::order::{HttpOrders, OrderLink};
use azureway_entry::runtime;
use dialect::TestDialect;
use flume::Receiver;
use googletest::prelude::*;
use load_order::load_order;

/// The bound on a wait, so that a failing test cannot hang. No result depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The most bytes that a server may have sent when its caller closes the connection: 32 MiB, of
/// which the sockets on both sides may buffer some. The smallest instances have 88 MB of memory.
const MAX_SENT: u64 = 32 * 1024 * 1024;

/// Starts an attempt at `address` whose request's deadline is `left` from now. Returns the ring of
/// its reports.
fn start_attempt(address: SocketAddr, left: Duration) -> Receiver<DecideMessage> {
    start_with_memory(address, left, BodyMemory::new())
}

fn start_with_memory(
    address: SocketAddr,
    left: Duration,
    memory: BodyMemory,
) -> Receiver<DecideMessage> {
    let (chunks, answer) = flume::bounded(64);
    let (decide, reports) = flume::bounded(64);
    let clock = Clock::new();
    let exchange = ExchangeAttempt {
        dispatch: dispatch(address, StreamPosition::ZERO),
        upstream: Arc::new(upstream(clock.now() + left)),
        chunks,
        decide,
        dialect: TestDialect,
        pool: ConnectionPool::new(8),
        memory,
        handle: Arc::new(CancelHandle::new()),
        connect_timeout: Duration::from_secs(1),
        resend_limit: Duration::ZERO,
        clock,
        next_position: StreamPosition::ZERO,
        output: TokenCount::ZERO,
    };
    thread::spawn(move || exchange.run());
    // The caller reads whatever it is sent, so that nothing but the attempt ends the answer.
    thread::spawn(move || answer.iter().for_each(drop));
    reports
}

fn upstream(deadline: Timestamp) -> UpstreamRequest {
    UpstreamRequest {
        kind: ServiceKind::Plain,
        streamed: false,
        method: "GET".into(),
        path: "/a".into(),
        content_type: "".into(),
        account: AccountId::new("small"),
        idempotency_key: None,
        link: Arc::default(),
        body: Arc::from(Vec::new()),
        passthrough: Some(Passthrough {
            attempt_id: Some("attempt-1".into()),
            once: true,
            headers: vec![("host".into(), "one".into())],
            priority: 3,
            deadline,
            read_timeout: Duration::from_millis(500),
            max_attempts: 2,
        }),
    }
}

/// Returns the reported failure in the notation of the table.
fn failure(reports: &Receiver<DecideMessage>) -> String {
    let failure = reports.iter().find_map(|message| match message {
        DecideMessage::Failed(failure) => Some(describe_failure(&failure)),
        _ => None,
    });
    failure.unwrap_or_else(|| "no failure".to_owned())
}

// Guards against an answer that fills the entry's memory, or occupies an attempt until the deadline.
#[gtest]
fn an_answer_without_an_end_fails_its_attempt_after_a_bounded_number_of_bytes() {
    for line in include_str!("../testdata/endless.txt").lines() {
        if line.starts_with('#') {
            continue;
        }
        let cells: Vec<String> = line
            .split('|')
            .map(|c| c.trim().replace('~', "\r\n").replace('#', "\n"))
            .collect();
        let [part, start, filler, expected] = &cells[..] else {
            panic!("four cells: {line}");
        };
        let server = EndlessServer::new(start, filler).expect("a server");
        let reports = start_attempt(server.address(), Duration::from_secs(600));
        let sent = server.wait_closed(TEST_TIMEOUT);
        expect_that!(sent, some(lt(MAX_SENT)), "{part}");
        expect_that!(failure(&reports).as_str(), eq(expected.as_str()), "{part}");
    }
}

// Guards against an attempt that outlives its request because each read gets some bytes in time.
#[gtest]
fn a_slow_answer_without_an_end_fails_its_attempt_at_the_deadline() {
    for start in [
        "HTTP/1.1 200 OK\r\nx-sign: 1\r\nx: ",
        "HTTP/1.1 200 OK\r\nx-sign: 1\r\n\r\n",
        "HTTP/1.1 503 Full\r\nx-not-run: 1\r\n\r\n",
    ] {
        let pause = Duration::from_millis(20);
        let server = EndlessServer::with_pause(start, "a", pause).expect("a server");
        let reports = start_attempt(server.address(), Duration::from_millis(200));
        expect_that!(
            server.wait_closed(TEST_TIMEOUT),
            some(anything()),
            "{start}"
        );
        expect_that!(failure(&reports).as_str(), not(eq("no failure")), "{start}");
    }
}

// Guards against a feed or an order whose answer fills the entry's memory.
#[gtest]
fn a_call_to_a_server_ends_after_a_bounded_number_of_bytes() {
    for start in ["HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nx: ", "x"] {
        let server = EndlessServer::new(start, "a").expect("a server");
        let opened = BackendConnection::open(server.address(), TEST_TIMEOUT);
        let mut connection = opened.expect("a connection");
        let answer = connection.call(
            b"GET / HTTP/1.1\r\n\r\n",
            TEST_TIMEOUT,
            &MemoryHold::default(),
        );
        expect_that!(answer.is_err(), eq(true), "{start}");
        drop(connection);
        expect_that!(
            server.wait_closed(TEST_TIMEOUT),
            some(lt(MAX_SENT)),
            "{start}"
        );

        let polled = HttpFeed.poll(
            &ServerId::new("s"),
            server.address(),
            0,
            false,
            &MemoryHold::default(),
        );
        expect_that!(polled.is_err(), eq(true), "{start}");
        expect_that!(
            server.wait_closed(TEST_TIMEOUT),
            some(lt(MAX_SENT)),
            "{start}"
        );

        let order = load_order(server.address());
        let runtime = runtime::create().expect("a runtime");
        let answer = runtime.block_on(HttpOrders::new().send(
            &order,
            FencingNumber::new(1),
            MemoryHold::default(),
        ));
        expect_that!(answer, eq(OrderAnswer::Unanswered), "{start}");
        expect_that!(
            server.wait_closed(TEST_TIMEOUT),
            some(lt(MAX_SENT)),
            "{start}"
        );
    }
}

// Guards against a call that never ends because each read gets some bytes in time.
#[gtest]
fn a_call_to_a_server_ends_at_its_time_limit_however_slowly_bytes_arrive() {
    let start = "HTTP/1.1 200 OK\r\n\r\n";
    let pause = Duration::from_millis(20);
    let server = EndlessServer::with_pause(start, "a", pause).expect("a server");
    let (ended, result) = flume::bounded(1);
    let address = server.address();
    thread::spawn(move || {
        let opened = BackendConnection::open(address, TEST_TIMEOUT);
        let mut connection = opened.expect("a connection");
        let answer = connection.call(
            b"GET / HTTP/1.1\r\n\r\n",
            Duration::from_millis(200),
            &MemoryHold::default(),
        );
        ended.send(answer.is_err()).expect("the test waits");
    });
    expect_that!(result.recv_timeout(TEST_TIMEOUT), ok(eq(true)));
}

// Guards against many events without an end that together fill the entry's memory.
#[gtest]
fn an_event_without_an_end_fails_its_attempt_when_the_memory_of_all_answers_is_used() {
    const MIB: usize = 1024 * 1024;
    let memory = BodyMemory::new();
    let mut other = memory.reserve();
    while other.grow(MIB) {}
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let reports = start_with_memory(address, Duration::from_secs(600), memory);
    let (mut stream, _) = listener.accept().expect("a connection");
    let head = "HTTP/1.1 200 OK\r\nx-sign: 1\r\ncontent-type: text/event-stream\r\n\r\ndata: ";
    let event = [head.as_bytes(), &[b'a'; MIB / 4]].concat();
    // The attempt may close the connection before it has read all.
    let _ = stream.write_all(&event);
    expect_that!(failure(&reports).as_str(), eq("Broken MaybeRun"));
}

// Guards against many large answers at once that together fill the entry's memory, and against
// short answers that fail because of them.
#[gtest]
fn the_bodies_of_all_answers_share_one_bound_that_spares_short_ones() {
    const MIB: usize = 1024 * 1024;
    let memory = BodyMemory::new();
    let mut bodies: Vec<_> = (0..8).map(|_| memory.reserve()).collect();
    let mut total = 0;
    while bodies.iter_mut().all(|b| b.grow(MIB)) {
        total += bodies.len() * MIB;
    }
    expect_that!(total, all![gt(0), le(16 * MIB)]);
    expect_that!(memory.reserve().grow(64 * 1024), eq(true));
    expect_that!(memory.reserve().grow(MIB), eq(false));
    drop(bodies);
    expect_that!(memory.reserve().grow(16 * MIB), eq(true));
    expect_that!(memory.reserve().grow(17 * MIB), eq(false));
}
