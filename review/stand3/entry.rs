//! The entry processes under test, started by the command of the deploy file.

use std::fs::{self, File};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// A running entry process. Dropping it kills the process.
pub struct Entry {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub log: PathBuf,
    settings: PathBuf,
    child: Child,
}

/// The settings of a small machine, as a site file of the pages has them.
pub struct Machine {
    pub memory_mb: u64,
    pub max_fds: u64,
}

impl Machine {
    /// The machines of `voskarna`.
    pub const fn small() -> Self {
        Self {
            memory_mb: 110,
            max_fds: 4100,
        }
    }
}

impl Entry {
    /// Starts an entry instance whose settings are the filled-in template.
    pub fn start(dir: &Path, name: &str, store: SocketAddr, machine: &Machine) -> Self {
        let [front, ready, peer] = free_ports();
        let template = fs::read_to_string("deploy/entry.ini.template").expect("read the template");
        let (zones_start, zones_end) = ("{{#zones}}", "{{/zones}}");
        let (head, rest) = template
            .split_once(zones_start)
            .expect("zones of the template");
        let (section, tail) = rest.split_once(zones_end).expect("zones of the template");
        let zone = section
            .replace("{{@}}", "kranj-a")
            .replace("{{.}}", "gorenjska");
        let mut text = format!("{head}{}{tail}", zone.trim_start());
        let values = [
            ("node", name.to_owned()),
            ("zone", "kranj-a".to_owned()),
            ("listen.front", front.to_string()),
            ("listen.ready", ready.to_string()),
            ("ip", "127.0.0.1".to_owned()),
            ("port_range.0", peer.port().to_string()),
            ("platform.address", store.to_string()),
            ("limits.link_mbps", "1000.0".to_owned()),
            ("limits.memory_mb", machine.memory_mb.to_string()),
            ("limits.max_fds", machine.max_fds.to_string()),
            ("bounds.retry_budget_ratio", "0.2".to_owned()),
            ("bounds.budget_slack", "52".to_owned()),
            ("bounds.budget_window_s", "10".to_owned()),
            ("bounds.lease_ms", "3000".to_owned()),
            ("bounds.version_ms", "8000".to_owned()),
            ("bounds.stable_window_ms", "3000".to_owned()),
            ("bounds.config_apply_ms", "2500".to_owned()),
            ("bounds.drain_ms", "2500".to_owned()),
            ("bounds.grace_s", "8".to_owned()),
        ];
        for (key, value) in values {
            text = text.replace(&format!("{{{{{key}}}}}"), &value);
        }
        assert!(
            !text.contains("{{"),
            "a placeholder of the template is not known:\n{text}"
        );
        let settings = dir.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("write the settings");
        let log = dir.join(format!("{name}.log"));
        let child = spawn(&settings, &log);
        Self {
            name: name.to_owned(),
            front,
            ready,
            log,
            settings,
            child,
        }
    }

    /// Returns the process ID.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Returns whether the process runs.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Starts the process again, with the same settings.
    pub fn restart(&mut self) {
        self.kill();
        self.child = spawn(&self.settings, &self.log);
    }

    /// Returns a figure in kilobytes from the status of the process, such as `VmRSS`.
    pub fn status_kb(&self, key: &str) -> u64 {
        let text = fs::read_to_string(format!("/proc/{}/status", self.pid())).unwrap_or_default();
        let line = text
            .lines()
            .find(|l| l.starts_with(key))
            .unwrap_or_default();
        line.split_whitespace()
            .nth(1)
            .and_then(|n| n.parse().ok())
            .unwrap_or(0)
    }

    /// Asks the ready address once, as the platform does each second.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(900);
        let Ok(stream) = TcpStream::connect_timeout(&self.ready, limit) else {
            return false;
        };
        let _ = stream.set_read_timeout(Some(limit));
        let mut writer = &stream;
        let sent = std::io::Write::write_all(
            &mut writer,
            b"GET /ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n",
        );
        let Ok(copy) = stream.try_clone() else {
            return false;
        };
        let answer = http::read_response(&mut std::io::BufReader::new(copy));
        sent.is_ok() && answer.is_ok_and(|a| a.status() == 200)
    }

    /// Waits until the instance is ready. Returns whether it became so.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let end = Instant::now() + limit;
        while Instant::now() < end {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let deploy = fs::read_to_string("deploy/system.toml").expect("read the deploy file");
    let run = deploy.lines().find_map(|l| l.strip_prefix("run = "));
    let run = run
        .expect("a command in the deploy file")
        .trim_matches('"')
        .to_owned();
    let mut words = run.split(' ');
    let file = File::options()
        .create(true)
        .append(true)
        .open(log)
        .expect("open the log");
    let errors = file.try_clone().expect("open the log");
    Command::new(words.next().unwrap_or_default())
        .args(words)
        .env_clear()
        .env("PATH", std::env::var("PATH").unwrap_or_default())
        .env("AZUREWAY_SETTINGS", settings)
        .stdin(Stdio::null())
        .stdout(file)
        .stderr(errors)
        .spawn()
        .expect("start the entry")
}

/// Returns three loopback addresses with free ports.
fn free_ports() -> [SocketAddr; 3] {
    let bind = |_| TcpListener::bind("127.0.0.1:0").expect("bind a free port");
    let listeners: [TcpListener; 3] = std::array::from_fn(bind);
    listeners.map(|l| l.local_addr().expect("address of a port"))
}
