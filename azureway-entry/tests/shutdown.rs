//! Tests of the end of a site's entry daemon: its times, and what callers get.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::thread;
use std::time::Duration;

use azureway_entry::daemon::ShutdownTimes;
use googletest::prelude::*;
use support::{Server, SiteFixture, TEST_TIMEOUT, read_answer};

/// The number of requests that the fixture's server runs at once.
const SLOTS: usize = 8;
/// The grace period of the fixture's daemon.
const GRACE: Duration = Duration::from_secs(2);

fn send(fixture: &SiteFixture, path: &str) -> TcpStream {
    let mut stream = TcpStream::connect(fixture.address()).expect("a connection");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a timeout");
    let head = format!("POST {path} HTTP/1.1\r\nhost: one\r\n\r\n");
    stream.write_all(head.as_bytes()).expect("sent");
    stream
}

/// Starts a server that answers nothing, and an entry daemon with one request for each of its slots.
fn start_busy() -> (Server, SiteFixture, Vec<TcpStream>) {
    let server = Server::start(|_, stream| drop(stream.read(&mut [0])));
    let fixture = SiteFixture::start_with_grace(&server, GRACE);
    let running: Vec<_> = (0..SLOTS).map(|_| send(&fixture, "/once/")).collect();
    running.iter().for_each(|_| server.wait_request());
    (server, fixture, running)
}

/// Guards against a request that waits for a server when the daemon stops, and whose connection is
/// then closed without an answer.
#[gtest]
fn a_waiting_request_is_refused_as_not_run_when_the_daemon_stops() {
    let (server, fixture, running) = start_busy();
    let mut waiting = send(&fixture, "/once/");
    let drained = fixture.drain();
    let answer = read_answer(&mut waiting);
    expect_that!(answer.as_str(), starts_with("HTTP/1.1 503 "));
    expect_that!(answer.as_str(), contains_substring("\"not_run\":true"));
    drop(running);
    drained.thread.join().expect("the drain ends");
    expect_false!(server.has_request());
}

/// Guards against a request that a server still runs at the end of the grace period, and whose
/// connection is then closed without an answer.
#[gtest]
fn a_running_request_gets_an_answer_before_the_daemon_ends() {
    let (_server, fixture, running) = start_busy();
    fixture.drain().thread.join().expect("the drain ends");
    for mut stream in running {
        let answer = read_answer(&mut stream);
        expect_that!(answer.as_str(), starts_with("HTTP/1.1 502 "));
        expect_that!(answer.as_str(), contains_substring("\"not_run\":false"));
    }
}

/// Guards against a stream that ends with the daemon and looks complete.
#[gtest]
fn a_running_stream_is_cut_at_the_end_of_the_grace_period() {
    let server = Server::start(|_, stream| {
        let head = "HTTP/1.1 200 OK\r\nx-sign: 1\r\ncontent-type: text/event-stream\r\n\r\n\
                    id: 0\ndata: a\n\n";
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.read(&mut [0]);
    });
    let fixture = SiteFixture::start_with_grace(&server, GRACE);
    let mut stream = send(&fixture, "/once/");
    let mut byte = [0];
    stream.read_exact(&mut byte).expect("the answer begins");
    fixture.drain().thread.join().expect("the drain ends");
    let mut text = Vec::new();
    // The caller may see the end as a close or a reset.
    let _ = stream.read_to_end(&mut text);
    let text = String::from_utf8(text).expect("text");
    expect_that!(text.as_str(), contains_substring("data: a"));
    expect_that!(text.as_str(), not(contains_substring("\r\n0\r\n")));
}

/// Guards against a request whose head arrives before the daemon stops accepting and whose body
/// arrives after it: it must not be passed on.
#[gtest]
fn a_request_that_is_complete_too_late_is_not_passed_on() {
    let server = Server::start(|_, stream| support::answer(stream, "ok"));
    let fixture = SiteFixture::start_with_grace(&server, GRACE);
    let mut slow = TcpStream::connect(fixture.address()).expect("a connection");
    slow.set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a timeout");
    let head = "POST /once/ HTTP/1.1\r\nhost: one\r\ncontent-length: 2\r\n\r\n1";
    slow.write_all(head.as_bytes()).expect("sent");
    let drained = fixture.drain();
    // A request on a connection of its own tells when the daemon has stopped accepting.
    loop {
        let mut probe = TcpStream::connect(drained.address).expect("a connection");
        probe
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a timeout");
        let head = "GET /safe/ HTTP/1.1\r\nhost: one\r\n\r\n";
        probe.write_all(head.as_bytes()).expect("sent");
        if read_answer(&mut probe).starts_with("HTTP/1.1 503 ") {
            break;
        }
        server.wait_request();
        thread::yield_now();
    }
    while server.has_request() {}
    slow.write_all(b"2").expect("sent");
    let answer = read_answer(&mut slow);
    expect_that!(answer.as_str(), starts_with("HTTP/1.1 503 "));
    expect_that!(answer.as_str(), contains_substring("\"not_run\":true"));
    drained.thread.join().expect("the drain ends");
    expect_false!(server.has_request());
}

/// Guards against answers that are cut before the last sixth of a short grace period, and against
/// requests that are accepted until its end.
#[gtest]
fn the_steps_of_a_shutdown_fit_into_every_grace_period() {
    for millis in [0, 1, 500, 1_000, 3_000, 5_000, 8_000, 60_000] {
        let grace = Duration::from_millis(millis);
        let times = ShutdownTimes::new(grace);
        expect_that!(times.accept, le(grace / 2), "{grace:?}");
        expect_that!(times.accept, le(times.finish), "{grace:?}");
        expect_that!(times.finish, ge(grace - grace / 6), "{grace:?}");
        expect_that!(times.exit, ge(times.finish), "{grace:?}");
        expect_that!(times.exit, le(grace), "{grace:?}");
    }
    let times = ShutdownTimes::new(Duration::from_secs(8));
    expect_that!(times.accept, eq(Duration::from_millis(2_900)));
    expect_that!(times.finish, eq(Duration::from_millis(7_500)));
}
