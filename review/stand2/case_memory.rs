//! Many clients wait for answers to prompts with many parts.

use std::thread::sleep;
use std::time::Duration;

use crate::Verdict;
use crate::client::{Client, generation, long_prefix, request};
use crate::deployment::{Deployment, SERVERS};
use crate::entry::MEMORY_MB;
use crate::record::Record;

/// The number of clients.
const CLIENTS: usize = 800;
/// The largest head of a request that the configuration allows, in bytes.
const HEAD_BYTES: usize = 16_384;
/// The time between two clients.
const PACE: Duration = Duration::from_millis(5);

/// Plays the case. The disruption is that the clients' prompts have many parts instead of two.
pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let deployment = Deployment::start(record, &SERVERS)?;
    let used = request(
        "POST /hold/1",
        "p0000",
        15_000,
        &generation(""),
        "prompt 0000",
    )
    .len();
    let parts = match trouble {
        true => long_prefix(HEAD_BYTES, used, 0),
        false => "5c1e07a2:119,91bd3f06:79".to_owned(),
    };
    let parts = generation(&parts);
    let process = deployment.entries[0].process;
    let parts_bytes = parts.len() - generation("").len();
    record.note(format!(
        "{CLIENTS} clients send requests of {} bytes",
        used + parts_bytes
    ));
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let client = Client::connect(deployment.entries[0].address, Duration::from_secs(16));
        let mut client = client.map_err(|e| e.to_string())?;
        let (id, body) = (format!("p{number:04}"), format!("prompt {number:04}"));
        client
            .send("POST /hold/1", &id, 15_000, &parts, &body)
            .map_err(|e| e.to_string())?;
        clients.push(client);
        sleep(PACE);
    }
    for _ in 0..6 {
        sleep(Duration::from_millis(500));
        let memory = process.status("VmRSS").unwrap_or(0);
        record.note(format!("the process has {memory} kB"));
    }
    let most = process.status("VmHWM").unwrap_or(0) * 1_024;
    let alive = process.is_alive();
    let mut client = Client::connect(deployment.entries[0].address, Duration::from_secs(4))
        .map_err(|e| e.to_string())?;
    let sent = client.send("GET /plain/1", "o1", 3_000, "", "");
    let answer = sent.and_then(|()| client.read_head()).ok().flatten();
    record.note(format!(
        "the ordinary client has {:?}",
        answer.map(|h| h.start)
    ));
    record.note(format!(
        "alive {alive}, at most {most} bytes of {MEMORY_MB} MB"
    ));
    let broken = !alive || most > MEMORY_MB * 1_000_000;
    Ok(if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
