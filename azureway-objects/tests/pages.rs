//! Tests of lists of several pages.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use azureway_core::prelude::ErrorKind;
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
fn start_platform(page: &str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
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
    let page = r#"{"version":3,"objects":[{"name":"a","version":1,"value":""}]}"#;
    let objects = HttpObjects::with_codec(start_platform(page), Endless);
    let list = objects.list("servers");
    expect_that!(list, err(displays_as(contains_substring("advance"))));
}

/// Returns a page of objects whose values have the given sizes in bytes.
fn page(sizes: &[usize]) -> String {
    let objects = sizes.iter().zip(1..).map(|(size, number)| {
        let value = "v".repeat(*size);
        format!(r#"{{"name":"o{number}","version":{number},"value":"{value}"}}"#)
    });
    let objects: Vec<_> = objects.collect();
    format!(r#"{{"version":9,"objects":[{}]}}"#, objects.join(","))
}

/// Guards against a few large objects of another writer that take the memory of the instance, or the place of all
/// others.
#[gtest]
fn a_list_beyond_its_bound_keeps_all_but_the_largest_values() {
    let platform = start_platform(&page(&[10, 900, 20, 800, 30]));
    let objects = HttpObjects::new(platform).with_max_body(4_000);
    let sizes =
        |list: ObjectList| -> Vec<_> { list.objects.iter().map(|o| o.value.len()).collect() };
    let whole = objects.list("servers").map(sizes);
    expect_that!(
        whole,
        ok(elements_are![eq(&10), eq(&900), eq(&20), eq(&800), eq(&30)])
    );
    let mut list: ObjectList =
        serde_json::from_str(&page(&[10, 900, 20, 800, 30])).expect("a list");
    let dropped = list.drop_largest(870);
    expect_that!(dropped, elements_are![eq(&("o2".to_owned(), 900))]);
    expect_that!(
        sizes(list),
        elements_are![eq(&10), eq(&0), eq(&20), eq(&800), eq(&30)]
    );
}

/// Guards against an answer to a watch that is too large and is asked for again without end. After this error the
/// objects are listed, in pages.
#[gtest]
fn an_answer_beyond_its_bound_is_not_worth_another_try() {
    let platform = start_platform(&page(&[5_000]));
    let objects = HttpObjects::new(platform).with_max_body(4_000);
    let answer = objects.watch("config", 1, Duration::ZERO);
    let kind = answer.map_err(|e| e.kind());
    expect_that!(kind, err(eq(&ErrorKind::Protocol)));
}
