//! Starting and stopping the project's own program, as the deploy file says.

use std::fs;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::Conn;

/// A running process of the role that carries the traffic.
pub struct Entry {
    /// The process.
    pub child: Child,
    /// The address for clients.
    pub front: SocketAddr,
    /// The address for questions of readiness.
    pub ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
}

/// The bounds of the deployment: those of `voskarna`.
const BOUNDS: [(&str, &str); 9] = [
    ("bounds.retry_budget_ratio", "0.2"),
    ("bounds.budget_slack", "52"),
    ("bounds.budget_window_s", "10"),
    ("bounds.lease_ms", "3000"),
    ("bounds.version_ms", "8000"),
    ("bounds.stable_window_ms", "3000"),
    ("bounds.config_apply_ms", "2500"),
    ("bounds.drain_ms", "2500"),
    ("bounds.grace_s", "8"),
];

impl Entry {
    /// Writes the settings of machine `node` into `folder` and starts the process. If another program takes
    /// one of the free ports first, the process ends, and others are tried.
    pub fn start(
        folder: &Path,
        node: &str,
        zone: &str,
        zones: &[(&str, &str)],
        store: SocketAddr,
    ) -> Self {
        for _ in 0..4 {
            let mut entry = Self::start_once(folder, node, zone, zones, store);
            thread::sleep(Duration::from_millis(300));
            if matches!(entry.child.try_wait(), Ok(None)) {
                return entry;
            }
        }
        Self::start_once(folder, node, zone, zones, store)
    }

    fn start_once(
        folder: &Path,
        node: &str,
        zone: &str,
        zones: &[(&str, &str)],
        store: SocketAddr,
    ) -> Self {
        let ports: Vec<_> = (0..3)
            .map(|_| TcpListener::bind("127.0.0.1:0").unwrap())
            .collect();
        let port = |i: usize| ports[i].local_addr().unwrap().port();
        let (front, ready, peer) = (port(0), port(1), port(2));
        drop(ports);
        let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let mut values = vec![
            ("node", node.to_owned()),
            ("zone", zone.to_owned()),
            ("listen.front", at(front).to_string()),
            ("listen.ready", at(ready).to_string()),
            ("ip", "127.0.0.1".to_owned()),
            ("port_range.0", peer.to_string()),
            ("platform.address", store.to_string()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("limits.memory_mb", "110".to_owned()),
            ("limits.max_fds", "4100".to_owned()),
        ];
        values.extend(BOUNDS.map(|(k, v)| (k, v.to_owned())));
        let template = fs::read_to_string("deploy/entry.ini.template").unwrap();
        let settings = folder.join(format!("{node}.ini"));
        fs::write(&settings, render(&template, &values, zones)).unwrap();
        let log = folder.join(format!("{node}.log"));
        let child = spawn(&settings, &log);
        Self {
            child,
            front: at(front),
            ready: at(ready),
            settings,
            log,
        }
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) {
        self.child = spawn(&self.settings, &self.log);
    }

    /// Returns whether the process says that it is ready.
    pub fn is_ready(&self) -> bool {
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1)) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
        let mut conn = Conn::new(stream);
        let request = "GET /ready HTTP/1.1\r\nhost: ready\r\nconnection: close\r\n\r\n";
        let sent = conn.send(request.as_bytes());
        sent.is_ok() && matches!(conn.head(), Ok(Some(head)) if head.status() == 200)
    }

    /// Waits until the process is ready. Returns whether it is within ten seconds.
    pub fn wait_ready(&self) -> bool {
        let end = Instant::now() + Duration::from_secs(10);
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

unsafe extern "C" {
    fn prctl(option: i32, value: u64) -> i32;
}

const PR_SET_PDEATHSIG: i32 = 1;
const SIGKILL: u64 = 9;

/// Starts the program with the words of `run` in the deploy file.
fn spawn(settings: &Path, log: &Path) -> Child {
    let deploy = fs::read_to_string("deploy/system.toml").unwrap();
    let run = deploy.lines().find_map(|l| l.strip_prefix("run = "));
    let run = run
        .expect("the deploy file says how to run")
        .trim_matches('"');
    let mut words = run.split(' ');
    let log = fs::OpenOptions::new().create(true).append(true).open(log);
    let log = log.unwrap();
    let mut command = Command::new(words.next().unwrap());
    // The process ends with this one, also if this one is killed.
    // SAFETY: the hook makes one system call.
    unsafe {
        command.pre_exec(|| {
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            Ok(())
        })
    };
    command
        .args(words)
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("HOME", std::env::var("HOME").unwrap_or_default())
        .env("AZUREWAY_SETTINGS", settings)
        // The users set this too. With more arenas a process keeps more memory than it uses.
        .env("MALLOC_ARENA_MAX", "1")
        .stdin(Stdio::null())
        .stderr(log.try_clone().unwrap())
        .stdout(log)
        .spawn()
        .expect("the program starts")
}

/// Fills in the template of the settings.
fn render(template: &str, values: &[(&str, String)], zones: &[(&str, &str)]) -> String {
    let (before, rest) = template.split_once("{{#zones}}").unwrap();
    let (section, after) = rest.split_once("{{/zones}}").unwrap();
    let mut text = before.to_owned();
    for (zone, region) in zones {
        text.push_str(&section.replace("{{@}}", zone).replace("{{.}}", region));
    }
    text.push_str(after);
    for (name, value) in values {
        text = text.replace(&format!("{{{{{name}}}}}"), value);
    }
    text
}
