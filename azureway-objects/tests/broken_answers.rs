//! Tests of answers of the platform that are broken or cut short.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::thread;

use azureway_core::prelude::ErrorKind;
use azureway_objects::{HttpObjects, ObjectApi};
use googletest::prelude::*;

/// The body of a list with one object.
const LIST: &str =
    r#"{"version":7,"objects":[{"name":"main","version":7,"value":"a","deleted":false}]}"#;

/// Reads a call, sends `answer` and closes the connection.
fn serve_once(answer: String) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a caller");
        let mut buffer = [0; 4096];
        let _ = stream.read(&mut buffer).expect("a call");
        stream.write_all(answer.as_bytes()).expect("sent");
        let _ = stream.shutdown(Shutdown::Write);
        // Keeps the connection open until the call has ended.
        while stream.read(&mut buffer).is_ok_and(|count| count > 0) {}
    });
    address
}

// Guards against a list that lacks objects because its answer was cut short or is not the platform's.
#[gtest]
fn a_list_whose_answer_is_broken_is_an_error() {
    let (size, part) = (LIST.len(), &LIST[..LIST.len() - 1]);
    let rows = [
        format!("HTTP/1.1 200 OK\r\ncontent-length: {size}\r\n\r\n{part}"),
        format!(
            "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{LIST}",
            size - 1
        ),
        format!("HTTP/1.1 200 OK\r\n\r\n{part}"),
        format!("HTTP/1.1 200 OK\r\ncontent length: {size}\r\n\r\n{part}"),
        format!("HTTP/1.1 200 OK\r\nno field\r\ncontent-length: {size}\r\n\r\n{LIST}"),
        format!("HTTP/1.1 200 OK\r\ncontent-length: 9\r\ncontent-length: {size}\r\n\r\n{LIST}"),
        format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{size:x}\r\n{LIST}\r\n"),
        format!(
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunkd\r\n\r\n{size:x}\r\n{LIST}\r\n0\r\n\r\n"
        ),
        format!("HTTP/1.1 000 None\r\ncontent-length: {size}\r\n\r\n{LIST}"),
        format!("HTTP/1.1 600 None\r\ncontent-length: {size}\r\n\r\n{LIST}"),
        format!("HTTP/1.1 101 Switching\r\ncontent-length: {size}\r\n\r\n{LIST}"),
    ];
    for answer in rows {
        let list = HttpObjects::new(serve_once(answer.clone())).list("config");
        expect_that!(list.map(|l| l.objects.len()), err(anything()), "{answer}");
    }
}

#[gtest]
fn a_whole_list_is_read() {
    for head in [
        format!("content-length: {}", LIST.len()),
        "connection: close".to_owned(),
    ] {
        let answer = format!("HTTP/1.1 200 OK\r\n{head}\r\n\r\n{LIST}");
        let list = HttpObjects::new(serve_once(answer)).list("config");
        expect_that!(list.map(|l| l.objects.len()), ok(eq(&1)), "{head}");
    }
}

// Guards against an object that counts as missing, or a change that counts as refused, on the word of an
// answer that is not valid HTTP.
#[gtest]
fn an_answer_with_a_broken_status_tells_nothing() {
    for line in [
        "HTTP/1.1 000 None",
        "HTTP/1.1 600 None",
        "HTTP/1.1 101 Switching",
    ] {
        let answer = format!("{line}\r\ncontent-length: 0\r\n\r\n");
        let object = HttpObjects::new(serve_once(answer.clone())).get("config", "main");
        let kind = object.map(|_| ()).map_err(|e| e.kind());
        let unknown = any![eq(ErrorKind::Protocol), eq(ErrorKind::Unavailable)];
        expect_that!(kind, err(unknown), "{line}");
    }
}
