//! The daemon of the product's own interface as a process, with a platform that holds one server.

use std::fs;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread;

use azureway_core::prelude::KeyHash;
use azureway_dev::crowd::ProcessProbe;
use azureway_dev::http::HttpServer;
use azureway_dev::platform::Platform;

/// A running daemon, which is killed when it is dropped.
pub(crate) struct ChatProcess {
    child: Child,
    address: SocketAddr,
    _platform: HttpServer,
}

impl ChatProcess {
    /// Starts the daemon in front of one backend server, with a memory of `memory` megabytes and
    /// `files` descriptors.
    pub(crate) fn start(test: &str, server: SocketAddr, memory: u64, files: usize) -> Self {
        let platform = Arc::new(Platform::new());
        platform.seed("config", "document", &document(server));
        let platform = HttpServer::start(platform).expect("a platform");
        let text = format!(
            "[entry]\ninstance = n1\nzone = a\nlisten = 127.0.0.1:0\npeer = 127.0.0.1:0\n\
             admin = 127.0.0.1:0\nplatform = {}\n[bounds]\nmemory = {memory}\nfiles = {files}\n",
            platform.address()
        );
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{test}.ini"));
        fs::write(&path, text).expect("the settings are written");
        let mut command = Command::new(env!("CARGO_BIN_EXE_azureway-entry"));
        command.arg("--settings").arg(path).env("RUST_LOG", "info");
        let mut child = command
            .stdout(Stdio::piped())
            .spawn()
            .expect("the program runs");
        let mut log = BufReader::new(child.stdout.take().expect("a log"));
        let address = read_address(&mut log);
        read_until(&mut log, "a configuration is in force");
        // The log must be read, since nobody else does.
        thread::spawn(move || log.lines().map_while(Result::ok).for_each(drop));
        Self {
            child,
            address,
            _platform: platform,
        }
    }

    /// Returns the address for callers.
    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the probe of the process.
    pub(crate) fn probe(&self) -> ProcessProbe {
        ProcessProbe::new(self.child.id())
    }
}

impl Drop for ChatProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the configuration: a model service and a plain service on the same server.
fn document(server: SocketAddr) -> String {
    let key = KeyHash::of("desk-key");
    format!(
        "[pool engines]\nloads = 2\n[pool tills]\n\
         [service advice]\npool = engines\n\
         [service orders]\nkind = plain\npool = tills\n\
         [account desk]\nkeys = {key}\n\
         [server engine]\npool = engines\nzone = a\naddress = {server}\nslots = 4096\n\
         [server till]\npool = tills\nzone = a\naddress = {server}\nslots = 4096\n"
    )
}

fn read_until(log: &mut impl BufRead, text: &str) -> String {
    loop {
        let mut line = String::new();
        let count = log.read_line(&mut line).expect("a log");
        assert_ne!(count, 0, "the log ended before {text:?}");
        if line.contains(text) {
            return line;
        }
    }
}

/// Returns the address for callers, which the log names.
fn read_address(log: &mut impl BufRead) -> SocketAddr {
    let line = read_until(log, "listening");
    let rest = line.split("peer=").nth(1).expect("an address");
    let address = rest.split_whitespace().next().expect("an address");
    address.parse().expect("an address")
}
