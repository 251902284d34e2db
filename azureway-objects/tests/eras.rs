//! Tests of what the client concludes from the eras that answers report.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use azureway_core::prelude::ErrorKind;
use azureway_objects::{HttpObjects, ObjectApi};
use googletest::prelude::*;

/// Starts a platform that reports one of the eras with each answer, in order.
fn start_platform(eras: &'static [&'static str]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    thread::spawn(move || {
        for (stream, era) in listener.incoming().zip(eras) {
            let mut stream = stream.expect("a connection");
            let _ = stream.read(&mut [0; 1_024]);
            let body = r#"{"version":3,"objects":[]}"#;
            let head = "HTTP/1.1 200 OK\r\nconnection: close\r\nazureway-store-era: ";
            let _ = stream.write_all(format!("{head}{era}\r\n\r\n{body}").as_bytes());
        }
    });
    address
}

/// Returns which calls succeed and which report a restore, as `ok` and `restored`.
fn outcomes(eras: &'static [&'static str]) -> Vec<&'static str> {
    let objects = HttpObjects::new(start_platform(eras));
    let outcome = |_| match objects.list("servers").map_err(|e| e.kind()) {
        Ok(_) => "ok",
        Err(ErrorKind::Restored) => "restored",
        Err(_) => "failed",
    };
    eras.iter().map(outcome).collect()
}

/// Guards against a client that rejects every answer after one that reported a wrong era.
#[gtest]
fn a_call_fails_only_when_the_era_differs_from_the_one_before() {
    let cases: [(&[&str], &[&str]); 4] = [
        (&["0", "0", "1", "1"], &["ok", "ok", "restored", "ok"]),
        (
            &["0", "99", "0", "0"],
            &["ok", "restored", "restored", "ok"],
        ),
        (&["2", "x", "-1", "2"], &["ok", "ok", "ok", "ok"]),
        (&["3", "4294967296", "3"], &["ok", "ok", "ok"]),
    ];
    for (eras, expected) in cases {
        expect_that!(outcomes(eras), container_eq(expected.to_vec()), "{eras:?}");
    }
}
