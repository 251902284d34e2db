//! Tests of invalid answers from backend servers: the caller gets a complete answer or an error
//! that states truthfully whether the request ran.

mod support;

use std::fmt::Write as _;
use std::io::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use azureway_config::ini::{self, Section};
use azureway_config::settings::EntrySettings;
use azureway_core::prelude::*;
use azureway_dev::http::{EndlessServer, HttpServer};
use azureway_dev::platform::Platform;
use azureway_entry::daemon::Entry;
use googletest::prelude::*;
use support::{KEY, open_at, positions, raw_server, read_all};

/// The cases, in the format that the head of the file describes.
const CASES: &str = include_str!("../testdata/bad_backend.ini");
/// The number of servers in the pool: one for each attempt of a request.
const SERVERS: usize = 4;
/// The response head of a stream.
const HEAD: &str = "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n";

/// The bound on a wait, so that a failing test cannot hang. No result depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The most bytes that a server may have sent when its connection is closed, of which the sockets on
/// both sides may buffer some.
const MAX_SENT: u64 = 32 * 1024 * 1024;

/// Returns a document with a pool of the given servers.
fn document(servers: &[SocketAddr]) -> String {
    let mut text = format!(
        "[pool p]\n[service advice]\npool = p\n\
         [service orders]\nkind = plain\npool = p\ncalls = at-most-once\n\
         [account desk]\nkeys = {}\n",
        KeyHash::of(KEY)
    );
    for (number, address) in servers.iter().enumerate() {
        write!(
            text,
            "[server s{number}]\npool = p\nzone = a\naddress = {address}\n"
        )
        .expect("text");
    }
    text
}

fn send_request(entry: SocketAddr, service: &str) -> String {
    let (path, body) = match service {
        "advice" => (
            "/v1/chat/completions",
            r#"{"model":"advice","stream":true,"messages":[]}"#,
        ),
        _ => ("/services/orders/new", "an order"),
    };
    let mut stream = open_at(entry);
    let head = format!(
        "POST {path} HTTP/1.1\r\nauthorization: Bearer {KEY}\r\nazureway-deadline-ms: 2000\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("sent");
    read_all(&mut stream)
}

/// Starts an entry daemon with a pool of the given servers, and its platform.
fn start_entry(servers: &[SocketAddr]) -> (Entry, HttpServer) {
    let platform = Arc::new(Platform::new());
    let server = HttpServer::start(Arc::clone(&platform)).expect("a port");
    platform.seed("config", "document", &document(servers));
    let (instance, zone) = (InstanceId::new("entry-1"), ZoneId::new("a"));
    let settings = EntrySettings::new(instance, zone, server.address());
    let entry = Entry::start(&settings).expect("the entry starts");
    entry.wait_ready();
    (entry, server)
}

fn check_case(case: &Section<'_>) {
    let text = |key| case.get(key).map_or("", |e| e.value);
    let answer = text("answer")
        .replace("HEAD", HEAD)
        .replace("\\r", "\r")
        .replace("\\n", "\n");
    let servers: Vec<_> = (0..SERVERS)
        .map(|_| raw_server(answer.as_bytes()))
        .collect();
    let (entry, _platform) = start_entry(&servers);

    let answer = send_request(entry.address(), text("service"));
    let status = format!("HTTP/1.1 {} ", text("status"));
    expect_that!(answer, starts_with(status), "{}", case.name);
    expect_that!(answer, contains_substring(text("holds")), "{}", case.name);
    if let Some(lacks) = case.get("lacks") {
        expect_that!(
            answer,
            not(contains_substring(lacks.value)),
            "{}",
            case.name
        );
    }
    if let Some(events) = case.get("events") {
        let expected: Vec<u64> = events.value.split(' ').flat_map(str::parse).collect();
        expect_that!(positions(&answer), eq(&expected), "{}", case.name);
    }
    entry.drain();
}

#[gtest]
fn each_invalid_answer_gives_the_listed_outcome() {
    let cases = ini::parse(CASES).expect("the table is good");
    expect_that!(cases.len(), ge(18));
    cases.iter().for_each(check_case);
}

// Guards against an answer that fills the entry's memory.
#[gtest]
fn an_answer_without_an_end_is_closed_after_a_bounded_number_of_bytes() {
    let rows = [
        ("advice", HEAD, "data: a\n"),
        ("advice", HEAD, ": a\n"),
        ("advice", HEAD, "a"),
        ("advice", "HTTP/1.1 200 OK\r\nx: ", "a"),
        ("orders", "HTTP/1.1 200 OK\r\n\r\n", "a"),
    ];
    for (service, start, filler) in rows {
        let server = EndlessServer::new(start, filler).expect("a server");
        let (entry, _platform) = start_entry(&[server.address()]);
        let address = entry.address();
        let caller = thread::spawn(move || send_request(address, service));
        let sent = server.wait_closed(TEST_TIMEOUT);
        expect_that!(sent, some(lt(MAX_SENT)), "{start}{filler}");
        let answer = caller.join().expect("an answer");
        expect_that!(answer, starts_with("HTTP/1.1 "), "{start}{filler}");
        entry.drain();
    }
}
