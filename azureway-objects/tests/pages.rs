//! Tests of lists of several pages.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use azureway_objects::{HttpObjects, ObjectApi, ObjectCall, ObjectCodec, PlainCodec, Put};
use azureway_wire::object::{ObjectBody, ObjectList};
use googletest::prelude::*;

/// The number of pages that the platform returns before it ends.
const PAGES: usize = 5;

/// A codec whose pages always say that more follow.
#[derive(Clone)]
struct Endless;

impl ObjectCodec for Endless {
    const CONTENT_TYPE: &'static str = "text/plain";
    const ERA_HEADER: &'static str = PlainCodec::ERA_HEADER;

    fn get(&self, kind: &str, name: &str) -> ObjectCall {
        PlainCodec.get(kind, name)
    }

    fn list(&self, kind: &str, after: Option<&str>, stale: bool) -> ObjectCall {
        PlainCodec.list(kind, after, stale)
    }

    fn put(&self, put: &Put<'_>) -> ObjectCall {
        PlainCodec.put(put)
    }

    fn delete(&self, kind: &str, name: &str, expected: u64) -> ObjectCall {
        PlainCodec.delete(kind, name, expected)
    }

    fn watch(&self, kind: &str, after: u64, wait: Duration) -> ObjectCall {
        PlainCodec.watch(kind, after, wait)
    }

    fn read_object(&self, bytes: &[u8]) -> std::result::Result<ObjectBody, serde_json::Error> {
        PlainCodec.read_object(bytes)
    }

    fn read_list(
        &self,
        bytes: &[u8],
    ) -> std::result::Result<(ObjectList, bool), serde_json::Error> {
        PlainCodec.read_list(bytes).map(|(list, _)| (list, true))
    }

    fn read_changes(&self, bytes: &[u8]) -> std::result::Result<ObjectList, serde_json::Error> {
        PlainCodec.read_changes(bytes)
    }
}

/// Starts a platform that answers calls with the same page.
fn start_platform() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let page = r#"{"version":3,"objects":[{"name":"a","version":1,"value":""}]}"#;
    let answer = format!("HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n{page}");
    thread::spawn(move || {
        for stream in listener.incoming().take(PAGES) {
            let mut stream = stream.expect("a connection");
            let _ = stream.read(&mut [0; 1_024]);
            let _ = stream.write_all(answer.as_bytes());
        }
    });
    address
}

/// Guards against a list that never ends and grows without bound.
#[gtest]
fn a_page_that_does_not_advance_is_an_error() {
    let objects = HttpObjects::with_codec(start_platform(), Endless);
    let list = objects.list("servers");
    expect_that!(list, err(displays_as(contains_substring("advance"))));
}
