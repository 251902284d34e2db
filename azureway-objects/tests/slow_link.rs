//! Tests of calls whose answers take long to arrive.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;
use std::time::Duration;

use azureway_core::prelude::ErrorKind;
use azureway_objects::{HttpObjects, ObjectApi};
use googletest::prelude::*;

/// The time limit of the client under test, in seconds.
const TIMEOUT: u64 = 1;
/// The size of the stored value, in bytes. At 10 Mbit/s it takes about 0.8 s without other traffic.
const VALUE_SIZE: usize = 1024 * 1024;
/// The number of pieces in which the answer arrives.
const PIECES: usize = 50;
/// The pause between two pieces: all together they take longer than the time limit.
const PAUSE: Duration = Duration::from_millis(40);

/// Answers one call with `body`, in pieces.
fn serve(body: String, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        read_head(&mut stream);
        let length = body.len();
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("sent");
        for piece in body.as_bytes().chunks(length / PIECES + 1) {
            thread::sleep(pause);
            if stream.write_all(piece).is_err() {
                return;
            }
        }
    });
    address
}

fn read_head(stream: &mut TcpStream) {
    let (mut head, mut byte) = (Vec::new(), [0]);
    while !head.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).expect("a request");
        head.push(byte[0]);
    }
}

// Guards against a configuration that an instance on a slow link never reads, since each attempt ends
// before the value has arrived.
#[gtest]
fn a_list_that_arrives_slowly_is_read_although_it_takes_longer_than_the_time_limit() {
    let value = "a".repeat(VALUE_SIZE);
    let body = format!(
        r#"{{"version":7,"objects":[{{"name":"main","version":7,"value":"{value}","deleted":false}}]}}"#
    );
    let address = serve(body, PAUSE);
    let list = HttpObjects::new(address)
        .with_timeout(TIMEOUT)
        .list("config");
    let list = list.expect("the list");
    expect_that!(list.version, eq(7));
    expect_that!(list.objects[0].value.len(), eq(VALUE_SIZE));
}

#[gtest]
fn an_answer_that_stops_arriving_fails_at_the_time_limit() {
    let address = serve("a".repeat(PIECES), Duration::from_secs(600));
    let list = HttpObjects::new(address)
        .with_timeout(TIMEOUT)
        .list("config");
    expect_that!(list.map_err(|e| e.kind()), err(eq(&ErrorKind::Unavailable)));
}
