//! Tests of broken answers of backend servers to the entry's own calls.

mod broken_heads;
mod load_order;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use azureway_core::prelude::*;
use azureway_entry::exchange::BackendConnection;
use azureway_entry::memory::MemoryHold;
use azureway_entry::order::{HttpOrders, OrderLink};
use azureway_entry::runtime;
use googletest::prelude::*;
use load_order::load_order;

/// The bound on a wait, so that a failing test cannot hang. No result depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads a call, sends `answer` and closes the connection.
fn serve_once(answer: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer).expect("a call");
        stream.write_all(&answer).expect("sent");
        let _ = stream.shutdown(Shutdown::Write);
        // Keeps the connection open until the call has ended.
        while stream.read(&mut buffer).is_ok_and(|count| count > 0) {}
    });
    address
}

// Guards against cache events that are read from an answer which is not valid HTTP.
#[gtest]
fn a_call_whose_answer_has_a_broken_head_is_an_error() {
    for row in broken_heads::read() {
        let address = serve_once(row.bytes);
        let answer =
            BackendConnection::get(address, "/events", TEST_TIMEOUT, &MemoryHold::default());
        expect_that!(answer.is_err(), eq(true), "{}", row.fault);
    }
}

// Guards against an order that counts as rejected, although it may be carried out: an answer that is not valid
// HTTP says nothing of the order.
#[gtest]
fn an_order_whose_answer_is_broken_counts_as_unanswered() {
    let rows = [
        ("202 Accepted\r\ncontent-length: 0", OrderAnswer::Taken),
        (
            "202 Accepted\r\ntransfer-encoding: chunked",
            OrderAnswer::Taken,
        ),
        ("503 Busy\r\ncontent-length: 0", OrderAnswer::Failed),
        ("000 None\r\ncontent-length: 0", OrderAnswer::Unanswered),
        (
            "101 Switching\r\ncontent-length: 0",
            OrderAnswer::Unanswered,
        ),
        ("600 None\r\ncontent-length: 0", OrderAnswer::Unanswered),
        ("999 None\r\ncontent-length: 0", OrderAnswer::Unanswered),
        (
            "202 Accepted\r\ncontent-length: 0x0",
            OrderAnswer::Unanswered,
        ),
        ("202 Accepted\r\ncontent length: 0", OrderAnswer::Unanswered),
        ("202 Accepted\r\nx\u{1}: 0", OrderAnswer::Unanswered),
        ("202 Accepted\r\nno field", OrderAnswer::Unanswered),
        (
            "202 Accepted\r\ntransfer-encoding: chunkd",
            OrderAnswer::Unanswered,
        ),
        (
            "202 Accepted\r\ntransfer-encoding: gzip, chunked",
            OrderAnswer::Unanswered,
        ),
        (
            "202 Accepted\r\ntransfer-encoding:",
            OrderAnswer::Unanswered,
        ),
    ];
    for (head, expected) in rows {
        let address = serve_once(format!("HTTP/1.1 {head}\r\n\r\n0\r\n\r\n").into_bytes());
        let runtime = runtime::create().expect("a runtime");
        let order = load_order(address);
        let answer = runtime.block_on(HttpOrders::new().send(
            &order,
            FencingNumber::new(1),
            MemoryHold::default(),
        ));
        expect_that!(answer, eq(expected), "{head}");
    }
}
