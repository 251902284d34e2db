//! Tests of the platform contract: the object API's client against the simulated platform.

use std::sync::Arc;
use std::time::Duration;

use azureway_core::prelude::Error;
use azureway_dev::http::{HttpServer, Reply, RequestHandler};
use azureway_dev::platform::{Platform, PlatformFaults};
use azureway_objects::{HttpObjects, ObjectApi, Put};
use azureway_wire::object::ObjectBody;
use googletest::prelude::*;
use tiny_http::Request;

/// The size of a value above the platform's limit, in bytes.
const LARGE: usize = 1024 * 1024 + 1;

/// Returns an object in the notation of the table.
fn format_object(object: &ObjectBody) -> String {
    let (name, version) = (&object.name, object.version);
    if object.deleted {
        return format!("{name} deleted@{version}");
    }
    format!("{name}={}@{version}", object.value)
}

fn format_objects(objects: &[ObjectBody]) -> String {
    let all: Vec<_> = objects.iter().map(format_object).collect();
    if all.is_empty() {
        "none".to_owned()
    } else {
        all.join(" ")
    }
}

/// Makes the call that `words` describe and returns its result in the notation of the table.
fn call(api: &impl ObjectApi, words: &[&str]) -> std::result::Result<String, Error> {
    let number = |text: &str| text.parse().expect("a number");
    Ok(match words {
        ["get", kind, name] => {
            let object = api.get(kind, name)?;
            object.as_ref().map_or("none".to_owned(), format_object)
        }
        ["list", kind] => format_objects(&api.list(kind)?.objects),
        ["watch", kind, after] => {
            format_objects(&api.watch(kind, number(after), Duration::ZERO)?.objects)
        }
        ["delete", kind, name, expected] => {
            api.delete(kind, name, number(expected))?;
            "done".to_owned()
        }
        ["put", kind, name, expected, value] => {
            let large = "x".repeat(LARGE);
            let value = if *value == "LARGE" { &large } else { *value };
            let expected = number(expected);
            let put = Put {
                kind,
                name,
                value,
                expected,
            };
            api.put(&put)?.to_string()
        }
        _ => panic!("no such call: {words:?}"),
    })
}

fn faults(word: &str) -> PlatformFaults {
    let mut faults = PlatformFaults::new();
    match word {
        "lost" => faults.lost_answers = 1,
        "outage" => faults.outage = true,
        "quota" => faults.quota = Some(1),
        _ => {}
    }
    faults
}

#[gtest]
fn each_call_gives_the_listed_result() {
    let platform = Arc::new(Platform::new());
    let server = HttpServer::start(Arc::clone(&platform)).expect("a free port");
    let api = HttpObjects::new(server.address());
    for line in include_str!("../testdata/platform.txt").lines() {
        if let Some(word) = line.strip_prefix("fault ") {
            platform.set_faults(faults(word));
        } else if !line.starts_with('#') {
            let (words, expected) = line.split_once(" | ").expect("two cells");
            let words: Vec<&str> = words.split_whitespace().collect();
            let answer = call(&api, &words);
            let answer = answer.unwrap_or_else(|e| format!("{:?}", e.kind()));
            expect_that!(answer, eq(expected), "{line}");
        }
    }
}

/// A platform that answers every call with the same status and text.
struct FixedAnswer(u16, &'static str);

impl RequestHandler for FixedAnswer {
    fn handle(&self, request: Request) {
        Reply::text(request, self.0, self.1);
    }
}

#[gtest]
fn an_invalid_answer_is_an_error_that_names_the_peer_and_step() {
    let cases = [
        (200, "no JSON", "Protocol"),
        (200, "{\"name\":\"x\"}", "Protocol"),
        (204, "", "Protocol"),
        // A redirect is not part of the object API and is not followed.
        (302, "elsewhere", "Protocol"),
        (418, "", "Protocol"),
        (500, "", "Unavailable"),
        (503, "", "Unavailable"),
        (429, "", "Limited"),
    ];
    for (status, text, kind) in cases {
        let server = HttpServer::start(Arc::new(FixedAnswer(status, text))).expect("a free port");
        let api = HttpObjects::new(server.address());
        let error = api.get("config", "document").expect_err("an error");
        expect_that!(format!("{:?}", error.kind()), eq(kind), "{status} {text}");
        expect_that!(
            error.peer(),
            some(contains_substring("platform 127.0.0.1:"))
        );
        expect_that!(error.step().as_str(), eq("get object"));
    }
}
