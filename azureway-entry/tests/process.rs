//! Tests of the daemon as a process of its own: settings, signals and ends without a drain.

use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Output, Stdio};
use std::time::Duration;

use azureway_config::settings::Bounds;
use azureway_dev::engine::EngineConfig;
use azureway_dev::serve::{Layout, System};
use googletest::prelude::*;

/// The daemon's program.
const PROGRAM: &str = env!("CARGO_BIN_EXE_azureway-entry");
/// The bound on a wait, so that a failing test cannot hang. No result depends on it.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// The tokens of an answer, enough for two signals to arrive while it is streamed.
const TOKENS: u64 = 100;

/// Writes settings to a file that is named after the test, and returns its path.
fn write_settings(test: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.ini"));
    fs::write(&path, text).expect("the settings are written");
    path
}

/// Returns the settings of an entry daemon whose platform is at `platform`.
fn settings(platform: SocketAddr) -> String {
    format!(
        "[entry]\ninstance = entry-1\nzone = kranj-a\nlisten = 127.0.0.1:0\n\
         peer = 127.0.0.1:0\nadmin = 127.0.0.1:0\nplatform = {platform}\n"
    )
}

/// Runs the program's check of settings and returns its output.
fn check(test: &str, text: &str) -> Output {
    let path = write_settings(test, text);
    let mut command = Command::new(PROGRAM);
    command
        .arg("--settings")
        .arg(path)
        .arg("--check")
        .output()
        .expect("the program runs")
}

/// A daemon's process, which is killed when the test ends.
struct Daemon {
    child: Child,
    log: BufReader<ChildStdout>,
}

impl Daemon {
    fn start(test: &str, platform: SocketAddr) -> Self {
        let path = write_settings(test, &settings(platform));
        let mut command = Command::new(PROGRAM);
        command
            .arg("--settings")
            .arg(path)
            .env("RUST_LOG", "info")
            .stdout(Stdio::piped());
        let mut child = command.spawn().expect("the program runs");
        let log = BufReader::new(child.stdout.take().expect("a log"));
        Self { child, log }
    }

    /// Reads the log until a line contains `text`, and returns the line.
    fn read_until(&mut self, text: &str) -> String {
        loop {
            let mut line = String::new();
            let count = self.log.read_line(&mut line).expect("a log");
            assert_ne!(count, 0, "the log ended before {text:?}");
            if line.contains(text) {
                return line;
            }
        }
    }

    /// Returns the address for callers, which the log names.
    fn address(&mut self) -> SocketAddr {
        let line = self.read_until("listening");
        let rest = line.split("peer=").nth(1).expect("an address");
        let address = rest.split_whitespace().next().expect("an address");
        address.parse().expect("an address")
    }

    /// Sends the signal `name` to the process.
    fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        let status = Command::new("sh")
            .arg("-c")
            .arg(kill)
            .status()
            .expect("a shell");
        assert!(status.success());
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Sends a chat request for a stream and returns the connection.
fn open_chat(entry: SocketAddr) -> BufReader<TcpStream> {
    let body = format!(
        r#"{{"model":"advice","stream":true,"max_tokens":{TOKENS},
            "messages":[{{"role":"user","content":"Which wax?"}}]}}"#
    );
    let mut stream = TcpStream::connect(entry).expect("a connection");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a timeout");
    let head = format!(
        "POST /v1/chat/completions HTTP/1.1\r\nauthorization: Bearer wax-desk-key\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("sent");
    BufReader::new(stream)
}

#[gtest]
fn check_accepts_valid_settings() {
    let output = check(
        "good",
        &settings("127.0.0.1:1".parse().expect("an address")),
    );
    expect_true!(output.status.success());
}

#[gtest]
fn check_names_an_invalid_line() {
    let output = check(
        "wrong",
        "[entry]\ninstance = e\nzone = a\nlisten = nowhere\nplatfrom = x\n",
    );
    expect_false!(output.status.success());
    let text = String::from_utf8(output.stderr).expect("text");
    expect_that!(
        text,
        contains_substring("line 4: [entry] listen: expected an IP address")
    );
    expect_that!(text, contains_substring("did you mean `platform`?"));
}

/// Starts a platform and one engine, without an entry daemon.
fn start_system() -> System {
    let layout = Layout::new()
        .with_zones(&["kranj-a"])
        .with_engines(1)
        .with_entries(0);
    let engine = EngineConfig::new().with_token_interval(Duration::from_millis(10));
    System::start(&layout, &engine, &Bounds::new()).expect("the system starts")
}

/// Reads a stream until its first events have arrived.
fn read_events(stream: &mut BufReader<TcpStream>) {
    let mut line = String::new();
    while line.trim_end() != "id: 2" {
        line.clear();
        stream.read_line(&mut line).expect("an event");
    }
}

#[gtest]
fn a_killed_daemon_truncates_its_answer_and_stops_the_engine() {
    let system = start_system();
    let mut daemon = Daemon::start("killed", system.platform_address());
    let address = daemon.address();
    daemon.read_until("a configuration is in force");
    let mut stream = open_chat(address);
    read_events(&mut stream);
    daemon.signal("KILL");
    let mut rest = String::new();
    let _ = stream.read_to_string(&mut rest);
    expect_that!(rest, not(contains_substring("[DONE]")));
    expect_that!(rest, not(ends_with("0\r\n\r\n")));
    // Returns when the engine is idle. If the engine did not stop, the test would hang here.
    system.engines[0].wait_idle();
    expect_that!(system.engines[0].running(), eq(0));
    system.drain();
}

#[gtest]
fn a_paused_daemon_finishes_its_stream_when_it_continues() {
    let system = start_system();
    let mut daemon = Daemon::start("paused", system.platform_address());
    let address = daemon.address();
    daemon.read_until("a configuration is in force");
    let mut stream = open_chat(address);
    read_events(&mut stream);
    daemon.signal("STOP");
    // The engine goes on writing to the connection meanwhile. The result does not depend on how
    // long the pause takes.
    std::thread::park_timeout(Duration::from_millis(300));
    daemon.signal("CONT");
    let mut rest = String::new();
    stream.read_to_string(&mut rest).expect("the rest");
    let ids = rest.lines().filter_map(|l| l.strip_prefix("id: "));
    let ids: Vec<u64> = ids.map(|id| id.parse().expect("a position")).collect();
    expect_that!(ids, eq(&(3..TOKENS + 2).collect::<Vec<_>>()));
    system.drain();
}

#[gtest]
fn a_signal_drains_and_a_second_signal_is_only_logged() {
    let system = start_system();
    let mut daemon = Daemon::start("drain", system.platform_address());
    let address = daemon.address();
    daemon.read_until("a configuration is in force");

    let mut stream = open_chat(address);
    read_events(&mut stream);
    daemon.signal("TERM");
    daemon.read_until("draining");
    daemon.signal("TERM");
    daemon.read_until("still draining");

    let mut rest = String::new();
    stream.read_to_string(&mut rest).expect("the rest");
    expect_that!(rest, contains_substring(format!("id: {}\n", TOKENS + 1)));
    expect_that!(rest, contains_substring("[DONE]"));
    let status = daemon.child.wait().expect("the process ends");
    expect_true!(status.success());
    system.drain();
}
