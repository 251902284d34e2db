//! Tests of an entry daemon that serves a site over sockets: callers, a server and the platform.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use googletest::prelude::*;
use support::{Server, SiteFixture, TEST_TIMEOUT, read_answer};

fn send(fixture: &SiteFixture, head: &str) -> TcpStream {
    let mut stream = TcpStream::connect(fixture.address()).expect("a connection");
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a timeout");
    stream.write_all(head.as_bytes()).expect("sent");
    stream
}

fn fetch(fixture: &SiteFixture, head: &str) -> String {
    read_answer(&mut send(fixture, head))
}

#[gtest]
fn one_connection_carries_many_requests() {
    let server = Server::start(|_, stream| support::answer(stream, "ok"));
    let fixture = SiteFixture::start(Some(&server));
    let mut stream = send(&fixture, "");
    for number in 0..3 {
        let head = format!("GET /safe/{number} HTTP/1.1\r\nhost: one\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("sent");
        let answer = read_answer(&mut stream);
        expect_that!(answer.as_str(), starts_with("HTTP/1.1 200 OK\r\n"));
        expect_that!(answer.as_str(), ends_with("\r\n\r\nok"));
        expect_that!(
            answer.as_str(),
            not(contains_substring("connection: close"))
        );
    }
}

#[gtest]
fn chunked_and_sized_bodies_reach_the_server_alike() {
    let (seen, bodies) = flume::bounded(4);
    let server = Server::start(move |request, stream| {
        let _ = seen.send(request.to_owned());
        support::answer(stream, "ok");
    });
    let fixture = SiteFixture::start(Some(&server));
    let sized = "POST /safe/x HTTP/1.1\r\nhost: one\r\ncontent-length: 4\r\n\r\nbody";
    let chunks = "POST /safe/x HTTP/1.1\r\nhost: one\r\ntransfer-encoding: chunked\r\n\r\n\
                  2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n";
    let mut stream = send(&fixture, sized);
    read_answer(&mut stream);
    stream.write_all(chunks.as_bytes()).expect("sent");
    read_answer(&mut stream);
    let (first, second) = (bodies.recv(), bodies.recv());
    let without_time_left = |s: String| {
        s.lines()
            .filter(|l| !l.starts_with("x-left"))
            .collect::<String>()
    };
    let first = without_time_left(first.expect("the first"));
    expect_that!(first.as_str(), ends_with("body"));
    expect_that!(without_time_left(second.expect("the second")), eq(&first));
}

// Guards against long requests that together outgrow the memory of the machine, which ends the process with
// all that it has accepted.
#[gtest]
fn long_requests_beyond_the_memory_of_all_are_refused_at_once() {
    const LENGTH: usize = 4 * 1024 * 1024;
    let server = Server::start(|_, stream| support::answer(stream, "ok"));
    let fixture = SiteFixture::start(Some(&server));
    // The last byte of each body is missing, so none is answered for another reason.
    let head = format!("POST /safe/x HTTP/1.1\r\nhost: one\r\ncontent-length: {LENGTH}\r\n\r\n");
    let mut streams: Vec<_> = (0..6).map(|_| send(&fixture, &head)).collect();
    let body = vec![b'a'; LENGTH - 1];
    for stream in &mut streams {
        // A refused request is read to its end for a second only.
        let _ = stream.write_all(&body);
    }
    let refused = streams.iter_mut().any(|stream| {
        let limit = stream.set_read_timeout(Some(Duration::from_millis(500)));
        limit.expect("a timeout");
        let mut line = [0; 12];
        stream.read_exact(&mut line).is_ok() && line == *b"HTTP/1.1 503"
    });
    expect_that!(refused, eq(true));
}

/// Each row: a request and the status line of its answer.
#[gtest]
fn requests_that_cannot_be_routed_get_the_matching_status() {
    let server = Server::start(|_, stream| support::answer(stream, "ok"));
    let fixture = SiteFixture::start(Some(&server));
    let rows = [
        ("GET /none HTTP/1.1\r\nhost: one\r\n\r\n", "404 Not Found"),
        ("GET /safe/ HTTP/1.1\r\nhost: two\r\n\r\n", "404 Not Found"),
        (
            "GET /keyed/ HTTP/1.1\r\nhost: one\r\n\r\n",
            "401 Unauthorized",
        ),
        (
            "GET /keyed/ HTTP/1.1\r\nhost: one\r\nx-key: bad\r\n\r\n",
            "401 Unauthorized",
        ),
        (
            "GET /keyed/ HTTP/1.1\r\nhost: one\r\nx-key: good\r\n\r\n",
            "200 OK",
        ),
        (
            "GET /safe/ HTTP/1.1\r\nhost: one\r\nx-wait: soon\r\n\r\n",
            "400 Bad Request",
        ),
        ("nonsense\r\n\r\n", "400 Bad Request"),
        (
            "POST /safe/ HTTP/1.1\r\nhost: one\r\ncontent-length: 99999999\r\n\r\n",
            "413 Content Too Large",
        ),
        (
            "POST /safe/ HTTP/1.1\r\nhost: one\r\ncontent-length: 1\r\n\
             transfer-encoding: chunked\r\n\r\n0\r\n\r\n",
            "400 Bad Request",
        ),
    ];
    for (request, status) in rows {
        let answer = fetch(&fixture, request);
        let expected = format!("HTTP/1.1 {status}\r\n");
        expect_that!(answer, starts_with(expected), "{request}");
    }
}

/// Guards against times of a route whose sums and products overflow and end the admitting duty.
#[gtest]
fn a_route_with_the_longest_times_is_served() {
    let server = Server::start(|_, stream| support::answer(stream, "ok"));
    let fixture = SiteFixture::start(Some(&server));
    for path in ["/endless/", "/safe/"] {
        let answer = fetch(
            &fixture,
            &format!("GET {path} HTTP/1.1\r\nhost: one\r\n\r\n"),
        );
        expect_that!(answer.as_str(), starts_with("HTTP/1.1 200 OK\r\n"));
    }
}

#[gtest]
fn an_entry_without_a_configuration_refuses_requests_and_is_not_ready() {
    let fixture = SiteFixture::start(None);
    let answer = fetch(&fixture, "GET /safe/ HTTP/1.1\r\nhost: one\r\n\r\n");
    expect_that!(answer.as_str(), starts_with("HTTP/1.1 503 "));
    expect_that!(
        answer.as_str(),
        contains_substring("\r\nretry-after: 1.000\r\n")
    );
    expect_that!(fixture.ready(), eq(503));
}

#[gtest]
fn an_interrupted_stream_does_not_look_complete() {
    let server = Server::start(|_, stream| {
        let head = "HTTP/1.1 200 OK\r\nx-sign: 1\r\ncontent-type: text/event-stream\r\n\
                    transfer-encoding: chunked\r\n\r\n";
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(b"f\r\nid: 0\ndata: a\n\n\r\n");
        let _ = stream.shutdown(Shutdown::Both);
    });
    let fixture = SiteFixture::start(Some(&server));
    let mut stream = send(&fixture, "POST /once/ HTTP/1.1\r\nhost: one\r\n\r\n");
    let mut text = Vec::new();
    // The caller may see the end as a close or a reset.
    let _ = stream.read_to_end(&mut text);
    let text = String::from_utf8(text).expect("text");
    expect_that!(text.as_str(), contains_substring("data: a"));
    expect_that!(text.as_str(), not(contains_substring("\r\n0\r\n")));
}

/// The head of a stream, without an event.
const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nx-sign: 1\r\ncontent-type: text/event-stream\r\n\
                           transfer-encoding: chunked\r\n\r\n";

/// Returns what the caller of `request` reads until the end of its connection if the server breaks off
/// its first answer after `first`, and gives every later attempt another answer that is no stream.
fn read_after_break(request: &str, first: String) -> String {
    let attempts = std::sync::atomic::AtomicU32::new(0);
    let server = Server::start(move |_, stream| {
        let answer = match attempts.fetch_add(1, std::sync::atomic::Ordering::Relaxed) {
            0 => first.as_str(),
            _ => "HTTP/1.1 404 None\r\nx-sign: 2\r\ncontent-length: 3\r\n\r\nbad",
        };
        let _ = stream.write_all(answer.as_bytes());
        let _ = stream.shutdown(Shutdown::Both);
    });
    let fixture = SiteFixture::start(Some(&server));
    let mut stream = send(&fixture, request);
    let mut text = Vec::new();
    // The caller may see the end as a close or a reset.
    let _ = stream.read_to_end(&mut text);
    String::from_utf8(text).expect("text")
}

// Guards against the text of another answer in the middle of a stream: the first attempt breaks after
// an event, and the second one gets no stream.
#[gtest]
fn a_stream_that_has_begun_is_not_followed_by_another_answer() {
    let request = "GET /safe/ HTTP/1.1\r\nhost: one\r\n\r\n";
    let text = read_after_break(request, format!("{STREAM_HEAD}9\r\ndata: a\n\n\r\n"));
    expect_that!(text.as_str(), starts_with("HTTP/1.1 200 OK\r\n"));
    expect_that!(text.as_str(), contains_substring("data: a"));
    expect_that!(text.as_str(), not(contains_substring("404")));
    expect_that!(text.as_str(), not(contains_substring("\r\n0\r\n")));
}

// Guards against a connection that is closed without an answer because the caller has received the
// head of a stream whose attempt then fails. Each row: a request, and the status line of its answer.
#[gtest]
fn a_stream_that_breaks_before_its_first_event_is_answered_as_a_failure() {
    for (path, status) in [("/once/", "502 Bad Gateway"), ("/safe/", "404 None")] {
        let request = format!("POST {path} HTTP/1.1\r\nhost: one\r\nconnection: close\r\n\r\n");
        let text = read_after_break(&request, STREAM_HEAD.to_owned());
        let line = format!("HTTP/1.1 {status}\r\n");
        expect_that!(text.as_str(), starts_with(line.as_str()), "{path}");
    }
}

#[gtest]
fn an_error_answer_of_the_server_reaches_the_caller_unchanged() {
    let server = Server::start(|_, stream| {
        let answer = "HTTP/1.1 500 Oops\r\nx-sign: 7\r\ncontent-length: 3\r\n\r\nbad";
        let _ = stream.write_all(answer.as_bytes());
    });
    let fixture = SiteFixture::start(Some(&server));
    for path in ["/safe/", "/once/"] {
        let answer = fetch(
            &fixture,
            &format!("POST {path} HTTP/1.1\r\nhost: one\r\n\r\n"),
        );
        expect_that!(answer.as_str(), starts_with("HTTP/1.1 500 Oops\r\n"));
        expect_that!(answer.as_str(), contains_substring("x-sign: 7\r\n"));
        expect_that!(answer.as_str(), ends_with("bad"));
    }
}

#[gtest]
fn a_disconnected_caller_cancels_its_request_at_the_server() {
    let (seen, closed) = flume::bounded(1);
    let server = Server::start(move |_, stream| {
        // The daemon sends nothing more, so the read ends when it closes the connection.
        let _ = seen.send(stream.read(&mut [0]).unwrap_or(0));
    });
    let fixture = SiteFixture::start(Some(&server));
    let stream = send(&fixture, "GET /safe/ HTTP/1.1\r\nhost: one\r\n\r\n");
    server.wait_request();
    drop(stream);
    expect_that!(closed.recv_timeout(TEST_TIMEOUT), ok(eq(0)));
}

#[gtest]
fn a_request_is_refused_when_its_deadline_passes() {
    let server = Server::start(|_, stream| drop(stream.read(&mut [0])));
    let fixture = SiteFixture::start(Some(&server));
    let started = Instant::now();
    let answer = fetch(
        &fixture,
        "POST /once/ HTTP/1.1\r\nhost: one\r\nx-wait: 300\r\n\r\n",
    );
    expect_that!(answer.as_str(), starts_with("HTTP/1.1 504 "));
    expect_that!(started.elapsed(), ge(Duration::from_millis(300)));
}

/// Sends the head and one event of a stream, then further events until the connection is closed or
/// the test has ended.
fn answer_with_endless_events(stream: &mut TcpStream) {
    let head = "HTTP/1.1 200 OK\r\nx-sign: 1\r\ncontent-type: text/event-stream\r\n\r\n";
    let _ = stream.write_all(head.as_bytes());
    let end = Instant::now() + TEST_TIMEOUT * 2;
    for id in 0.. {
        let event = format!("id: {id}\ndata: a\n\n");
        if Instant::now() > end || stream.write_all(event.as_bytes()).is_err() {
            return;
        }
        thread::sleep(Duration::from_millis(10));
    }
}

// Guards against a stream that keeps its caller waiting beyond the time limit of its route, which
// may be far below the caller's own.
#[gtest]
fn a_stream_ends_at_the_time_limit_of_its_route() {
    for path in ["/brief/", "/brief/once/"] {
        let server = Server::start(|_, stream| answer_with_endless_events(stream));
        let fixture = SiteFixture::start(Some(&server));
        let head = format!("POST {path} HTTP/1.1\r\nhost: one\r\nx-wait: 600000\r\n\r\n");
        let mut stream = send(&fixture, &head);
        let (ended, text) = flume::bounded(1);
        thread::spawn(move || {
            let mut text = Vec::new();
            // The caller may see the end as a close or a reset.
            let _ = stream.read_to_end(&mut text);
            let _ = ended.send(String::from_utf8(text).expect("text"));
        });
        let text = text.recv_timeout(TEST_TIMEOUT);
        expect_that!(text, ok(contains_substring("id: 0\n")), "{path}");
        let text = text.unwrap_or_default();
        expect_that!(
            text.as_str(),
            not(contains_substring("\r\n0\r\n")),
            "{path}"
        );
    }
}

#[gtest]
fn a_leaving_entry_finishes_what_it_has_and_says_that_it_leaves() {
    let (release, released) = flume::bounded::<()>(0);
    let server = Server::start(move |_, stream| {
        let _ = released.recv();
        support::answer(stream, "late");
    });
    let fixture = SiteFixture::start(Some(&server));
    expect_that!(fixture.ready(), eq(200));
    let mut running = send(&fixture, "GET /safe/ HTTP/1.1\r\nhost: one\r\n\r\n");
    server.wait_request();
    let ready = fixture.ready_address();
    let drained = fixture.drain();
    while support::status(ready) != 503 {
        thread::yield_now();
    }
    // The first request was accepted before the drain; the second one arrives while the daemon
    // is draining and still accepts requests.
    let mut second = TcpStream::connect(drained.address).expect("a connection");
    second
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a timeout");
    let head = "GET /safe/ HTTP/1.1\r\nhost: one\r\n\r\n";
    second.write_all(head.as_bytes()).expect("sent");
    server.wait_request();
    drop(release);
    expect_that!(read_answer(&mut running), ends_with("late"));
    let answer = read_answer(&mut second);
    expect_that!(answer.as_str(), ends_with("late"));
    expect_that!(answer.as_str(), contains_substring("connection: close\r\n"));
    drained.thread.join().expect("the drain ends");
}

/// Requests are sent on new connections until one is refused, as by callers that still connect to a
/// draining instance.
#[gtest]
fn a_leaving_entry_sends_latecomers_elsewhere() {
    let server = Server::start(|_, stream| support::answer(stream, "ok"));
    let fixture = SiteFixture::start(Some(&server));
    let drained = fixture.drain();
    let refused = loop {
        let stream = TcpStream::connect(drained.address);
        let mut stream = stream.expect("a connection until the end");
        stream
            .set_read_timeout(Some(TEST_TIMEOUT))
            .expect("a timeout");
        let head = "GET /safe/ HTTP/1.1\r\nhost: one\r\n\r\n";
        stream.write_all(head.as_bytes()).expect("sent");
        let answer = read_answer(&mut stream);
        if !answer.starts_with("HTTP/1.1 200 ") {
            break answer;
        }
    };
    expect_that!(refused.as_str(), starts_with("HTTP/1.1 503 "));
    expect_that!(
        refused.as_str(),
        contains_substring("retry-after: 0.020\r\n")
    );
    expect_that!(refused.as_str(), contains_substring("\"not_run\":true"));
    drained.thread.join().expect("the drain ends");
}

#[gtest]
fn starting_on_a_port_in_use_fails() {
    let taken = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = taken.local_addr().expect("an address");
    expect_that!(
        SiteFixture::start_on(address),
        err(contains_substring("listen for callers"))
    );
}

/// Rejects the request and asks for a pause of some seconds.
fn reject_with_pause(stream: &mut TcpStream, pause: &str) {
    let head = format!(
        "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nx-pause: {pause}\r\ncontent-length: 0\r\n\r\n"
    );
    let _ = stream.write_all(head.as_bytes());
}

/// Guards against requests that reach a server during the pause that it asked for, and against callers
/// that wait in vain for its end.
#[gtest]
fn a_server_gets_nothing_during_the_pause_that_it_asked_for() {
    let (arrived, arrivals) = flume::bounded(64);
    let server = Server::start(move |_, stream| {
        let _ = arrived.send(());
        reject_with_pause(stream, "59");
    });
    let fixture = SiteFixture::start(Some(&server));
    for number in 0..5 {
        let head = "GET /safe/x HTTP/1.1\r\nhost: one\r\nx-wait: 9000\r\n\r\n";
        let answer = fetch(&fixture, head);
        expect_that!(answer.as_str(), starts_with("HTTP/1.1 503 "), "{number}");
        expect_that!(answer.as_str(), contains_substring("\"not_run\":true"));
        let after = answer.lines().find_map(|l| l.strip_prefix("retry-after: "));
        let after: f64 = after.expect("a time").parse().expect("seconds");
        expect_that!(after, ge(10.0), "{number}");
    }
    expect_that!(arrivals.len(), eq(1));
}

/// Guards against requests that are refused though the pause ends in time, and against ones that are
/// sent before.
#[gtest]
fn a_request_waits_for_the_end_of_a_pause() {
    let (arrived, arrivals) = flume::bounded(64);
    let server = Server::start(move |_, stream| {
        let first = arrived.is_empty();
        let _ = arrived.send(Instant::now());
        match first {
            true => reject_with_pause(stream, "1.5"),
            false => support::answer(stream, "ok"),
        }
    });
    let fixture = SiteFixture::start(Some(&server));
    let answer = fetch(&fixture, "GET /safe/x HTTP/1.1\r\nhost: one\r\n\r\n");
    expect_that!(answer.as_str(), starts_with("HTTP/1.1 200 "));
    let times: Vec<Instant> = arrivals.drain().collect();
    expect_that!(times.len(), eq(2));
    expect_that!(times[1] - times[0], ge(Duration::from_millis(1_500)));
}
