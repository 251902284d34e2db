//! Tests of the wait for the next request on a caller's connection.

use std::cell::Cell;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::time::Duration;

use azureway_entry::routed::IdleWait;
use googletest::prelude::*;

/// A limit that no test reaches.
const LONG: Duration = Duration::from_secs(600);

/// Returns both ends of a connection.
fn connection() -> (TcpStream, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let caller = TcpStream::connect(address).expect("a connection");
    let (stream, _) = listener.accept().expect("a connection");
    (caller, stream)
}

// Guards against closing a connection by the idle limit of an older configuration, which is shorter
// than the one that callers rely on.
#[gtest]
fn an_idle_limit_that_grows_during_the_wait_extends_it() {
    let (caller, stream) = connection();
    let asked = Cell::new(0);
    let limit = || {
        asked.set(asked.get() + 1);
        match asked.get() {
            1 => Duration::from_millis(20),
            _ => {
                (&caller).write_all(b"G").expect("sent");
                LONG
            }
        }
    };
    expect_that!(IdleWait::new(&stream).run(limit), eq(true));
    expect_that!(asked.get(), eq(2));
}

#[gtest]
fn a_wait_ends_without_a_request_at_the_limit_or_with_the_connection() {
    let (caller, stream) = connection();
    let wait = IdleWait::new(&stream);
    expect_that!(wait.run(|| Duration::from_millis(20)), eq(false));
    expect_that!(wait.run(|| Duration::ZERO), eq(false));
    drop(caller);
    expect_that!(IdleWait::new(&stream).run(|| LONG), eq(false));
}
