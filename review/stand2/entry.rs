//! Entry instances, started as the deploy file says.

use std::collections::BTreeMap;
use std::fs;
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Command, Stdio};

use crate::process::Process;

/// A running entry instance.
pub struct Entry {
    /// The address for callers.
    pub address: SocketAddr,
    /// The address that the platform asks whether the instance is ready.
    pub ready: SocketAddr,
    /// The process.
    pub process: Process,
}

/// The memory of an instance in the settings, in megabytes.
pub const MEMORY_MB: u64 = 110;

impl Entry {
    /// Starts the instance `name` with the settings of a small deployment. Its log goes to `folder`.
    pub fn start(name: &str, store: SocketAddr, folder: &Path) -> Result<Self, String> {
        let [front, ready, peer] = free_ports()?;
        let fields = fields(name, store, [front, ready, peer]);
        let deploy = read("deploy/system.toml")?;
        let word = |key: &str| quoted(&deploy, key).ok_or(format!("the deploy file has no {key}"));
        let settings = folder.join(format!("{name}.ini"));
        let text = fill(&read(&word("template")?)?, &fields);
        fs::write(&settings, text).map_err(|e| e.to_string())?;
        let log = fs::File::create(folder.join(format!("{name}.log")));
        let command = word("run")?;
        let mut words = command.split(' ');
        let program = words.next().unwrap_or_default();
        let child = Command::new(program)
            .args(words)
            .env("AZUREWAY_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(log.map_err(|e| e.to_string())?)
            .spawn();
        let process = Process::new(child.map_err(|e| format!("{program}: {e}"))?);
        let address = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Ok(Self {
            address: address(front),
            ready: address(ready),
            process,
        })
    }
}

fn read(path: &str) -> Result<String, String> {
    fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))
}

/// Returns three ports that are free now.
fn free_ports() -> Result<[u16; 3], String> {
    let bind = || TcpListener::bind("127.0.0.1:0").map_err(|e| e.to_string());
    let open = [bind()?, bind()?, bind()?];
    let port = |l: &TcpListener| l.local_addr().map_or(0, |a| a.port());
    Ok([port(&open[0]), port(&open[1]), port(&open[2])])
}

/// Returns the text of a key of the deploy file.
fn quoted(text: &str, key: &str) -> Option<String> {
    let prefix = format!("{key} = \"");
    let line = text.lines().find_map(|l| l.strip_prefix(&prefix))?;
    line.strip_suffix('"').map(str::to_owned)
}

/// Returns the fields of the platform's settings that the template names.
fn fields(
    name: &str,
    store: SocketAddr,
    [front, ready, peer]: [u16; 3],
) -> BTreeMap<String, String> {
    let fields = [
        ("node", name.to_owned()),
        ("zone", "kranj-a".to_owned()),
        ("ip", "127.0.0.1".to_owned()),
        ("listen.front", format!("127.0.0.1:{front}")),
        ("listen.ready", format!("127.0.0.1:{ready}")),
        ("port_range.0", peer.to_string()),
        ("platform.address", store.to_string()),
        ("limits.link_mbps", "1000.0".to_owned()),
        ("limits.memory_mb", MEMORY_MB.to_string()),
        ("limits.max_fds", "4100".to_owned()),
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
    fields.map(|(k, v)| (k.to_owned(), v)).into()
}

/// Fills in a template. The only section is that of the zones.
fn fill(template: &str, fields: &BTreeMap<String, String>) -> String {
    let mut text = template.to_owned();
    if let Some((before, rest)) = template.split_once("{{#zones}}") {
        let (section, after) = rest.split_once("{{/zones}}").unwrap_or((rest, ""));
        let zone = section
            .replace("{{@}}", "kranj-a")
            .replace("{{.}}", "gorenjska");
        text = format!("{before}{}{after}", zone.trim_start_matches('\n'));
    }
    for (key, value) in fields {
        text = text.replace(&format!("{{{{{key}}}}}"), value);
    }
    text
}
