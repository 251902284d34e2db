//! Tests of the non-blocking, rate-limited logs.

use std::io::Write;

use azureway_entry::logs::LogSender;
use googletest::prelude::*;

#[gtest]
fn lines_are_written_in_order() {
    let (mut sender, writer, _) = LogSender::new();
    for number in 0..5 {
        writeln!(sender, "line {number}").expect("a sender takes every line");
    }
    drop(sender);
    let mut out = Vec::new();
    writer.run(&mut out);
    let text = String::from_utf8(out).expect("text");
    expect_that!(text.as_str(), contains_substring("line 0"));
    expect_that!(text.find("line 1"), lt(text.find("line 4")));
}

/// Nothing empties the channel during the flood, so a blocking write would hang the test.
#[gtest]
fn flood_is_limited_and_counted_without_blocking() {
    let (mut sender, writer, _) = LogSender::new();
    let flood = 100_000;
    for _ in 0..flood {
        sender
            .write_all(b"flood\n")
            .expect("a sender takes every line");
    }
    drop(sender);
    let mut out = Vec::new();
    writer.run(&mut out);
    let text = String::from_utf8(out).expect("text");
    let written = text.lines().filter(|l| *l == "flood").count();
    expect_that!(written, lt(flood / 10));
    let count = format!("count={}", flood - written);
    expect_that!(text, contains_substring(count));
}

#[gtest]
fn flush_waits_for_the_last_line() {
    let (mut sender, writer, flusher) = LogSender::new();
    let thread = std::thread::spawn(move || {
        let mut out = Vec::new();
        writer.run(&mut out);
        out
    });
    sender
        .write_all(b"last\n")
        .expect("a sender takes every line");
    flusher.flush();
    drop(sender);
    let out = thread.join().expect("the writer ends");
    expect_that!(out, eq(&b"last\n".to_vec()));
}
