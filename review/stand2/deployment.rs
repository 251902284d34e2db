//! A small deployment: a store, backend servers and entry instances.

use std::collections::BTreeMap;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::client;
use crate::entry::Entry;
use crate::process::{Guard, Process};
use crate::record::Record;
use crate::store::Store;

/// The processes and the store of a case.
pub struct Deployment {
    /// The store.
    pub store: Store,
    /// The entry instances.
    pub entries: Vec<Entry>,
    record: Record,
    servers: BTreeMap<String, Running>,
    _guard: Guard,
    folder: Folder,
}

/// A backend server that runs or was killed.
struct Running {
    service: &'static str,
    port: u16,
    starts: u64,
    process: Process,
}

/// A temporary folder, which is removed at the end.
struct Folder(PathBuf);

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// The backend servers of a deployment with nine model servers, as the users' small ones have.
pub const SERVERS: [(&str, &str); 10] = [
    ("i-llm-1", "llm"),
    ("i-llm-2", "llm"),
    ("i-llm-3", "llm"),
    ("i-llm-4", "llm"),
    ("i-llm-5", "llm"),
    ("i-llm-6", "llm"),
    ("i-llm-7", "llm"),
    ("i-llm-8", "llm"),
    ("i-llm-9", "llm"),
    ("i-app-1", "app"),
];
/// The time for which an entry instance may take until it is ready.
const START_LIMIT: Duration = Duration::from_secs(15);

impl Deployment {
    /// Starts the servers of `services`, each with a name and its service, and one entry instance.
    pub fn start(record: &Record, services: &[(&str, &'static str)]) -> Result<Self, String> {
        Self::start_with(record, services, 1)
    }

    /// Starts the servers of `services` and `count` entry instances.
    pub fn start_with(
        record: &Record,
        services: &[(&str, &'static str)],
        count: usize,
    ) -> Result<Self, String> {
        let guard = Guard;
        let store = Store::start().map_err(|e| e.to_string())?;
        store.put("config", "main", &config(1, true));
        store.put("versions", "m", "{\"model\":\"m\",\"version\":1}");
        let folder = Folder(std::env::temp_dir().join(format!("stand2-{}", std::process::id())));
        std::fs::create_dir_all(&folder.0).map_err(|e| e.to_string())?;
        let mut servers = BTreeMap::new();
        for (name, service) in services {
            let listener = TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string())?;
            let port = listener.local_addr().map_err(|e| e.to_string())?.port();
            drop(listener);
            let process = start_server(name, port, record)?;
            let running = Running {
                service,
                port,
                starts: 1,
                process,
            };
            store.put("servers", name, &running.spec());
            servers.insert((*name).to_owned(), running);
        }
        let mut deployment = Self {
            store,
            entries: Vec::new(),
            record: record.clone(),
            servers,
            folder,
            _guard: guard,
        };
        deployment.start_entries(count)?;
        Ok(deployment)
    }

    fn start_entries(&mut self, count: usize) -> Result<(), String> {
        for number in 1..=count {
            let name = format!("front-kranj-a-{number}");
            let entry = Entry::start(&name, self.store.address(), &self.folder.0)?;
            self.entries.push(entry);
        }
        self.wait_ready()
    }

    /// Kills all entry instances at once, and starts them again after `down`.
    pub fn kill_entries(&mut self, down: Duration) -> Result<(), String> {
        let entries = std::mem::take(&mut self.entries);
        entries.iter().for_each(|e| e.process.kill());
        self.record.note("all entry instances were killed");
        sleep(down);
        self.start_entries(entries.len())
    }

    fn wait_ready(&self) -> Result<(), String> {
        let end = Instant::now() + START_LIMIT;
        while Instant::now() < end {
            if self.entries.iter().all(|e| client::is_ready(e.ready)) {
                self.record.note("the entry instances are ready");
                // The readers of cache events connect, and the first lists are read.
                sleep(Duration::from_millis(1_500));
                return Ok(());
            }
            sleep(Duration::from_millis(100));
        }
        Err("an entry instance is not ready".to_owned())
    }

    /// Kills a backend server.
    pub fn crash(&self, name: &str) {
        if let Some(server) = self.servers.get(name) {
            server.process.kill();
            self.record.note(format!("server {name} was killed"));
        }
    }

    /// Starts a backend server again, as a new incarnation under its ID.
    pub fn restart(&mut self, name: &str) -> Result<(), String> {
        let server = self.servers.get_mut(name).ok_or("no such server")?;
        server.process = start_server(name, server.port, &self.record)?;
        server.starts += 1;
        self.store.put("servers", name, &server.spec());
        Ok(())
    }
}

impl Running {
    fn spec(&self) -> String {
        let Self {
            service,
            port,
            starts,
            ..
        } = self;
        let born = 1_790_000_000_000 + starts * 1_000;
        let (slots, models) = match *service {
            "llm" => (64, "[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]"),
            _ => (6, "[]"),
        };
        format!(
            "{{\"service\":\"{service}\",\"address\":\"127.0.0.1:{port}\",\"zone\":\"kranj-a\",\"version\":\"v1\",\"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":{starts},\"born\":{born},\"models\":{models}}}"
        )
    }
}

fn start_server(name: &str, port: u16, record: &Record) -> Result<Process, String> {
    let program = std::env::current_exe().map_err(|e| e.to_string())?;
    let path = record.path().to_string_lossy().into_owned();
    let up = record.count(&format!("server {name} is up"));
    let child = Command::new(program)
        .args(["server", name, &port.to_string(), &path])
        .stdin(Stdio::null())
        .spawn();
    let process = Process::new(child.map_err(|e| e.to_string())?);
    for _ in 0..100 {
        if record.count(&format!("server {name} is up")) > up {
            return Ok(process);
        }
        sleep(Duration::from_millis(20));
    }
    Err(format!("server {name} does not start"))
}

/// Returns the configuration, with the route `status` or without it.
pub fn config(version: u64, with_status: bool) -> String {
    let route = |name: &str, kind: &str, service: &str, timeout: u64, attempts: u32, more: &str| {
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"shop.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout},\"target_latency_ms\":400,\"priority\":0,\"service\":\"{service}\",\"max_attempts\":{attempts},\"public\":true{more}}}"
        )
    };
    let stream = ",\"sticky\":true,\"gap_target_ms\":400,\"resumable\":";
    let mut routes = vec![
        route(
            "hold",
            "streaming",
            "llm",
            15_000,
            1,
            &format!("{stream}false"),
        ),
        route(
            "quick",
            "streaming",
            "llm",
            5_000,
            1,
            &format!("{stream}false"),
        ),
        route(
            "draft",
            "streaming",
            "llm",
            15_000,
            2,
            &format!("{stream}true"),
        ),
        route("plain", "safe", "app", 1_500, 2, ""),
    ];
    routes.push(route("order", "unsafe", "app", 1_500, 1, ""));
    if with_status {
        routes.push(route("status", "safe", "app", 1_500, 2, ""));
    }
    let routes = routes.join(",");
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{{\"name\":\"llm\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity_tokens\":101825,\"kv_token_bytes\":163840,\"link_mbps\":550000.0,\"stride\":4,\"max_inflight\":12,\"models\":[{{\"name\":\"m\"}}]}}}},{{\"name\":\"app\",\"health_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[]}}"
    )
}
