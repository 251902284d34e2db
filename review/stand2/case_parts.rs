//! Servers crash while they run requests whose prompts have many shared parts.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Client, generation, long_prefix, request};
use crate::deployment::{Deployment, SERVERS};
use crate::ordinary::Ordinary;
use crate::record::Record;

/// The largest head of a request that the configuration allows, in bytes.
const HEAD_BYTES: usize = 16_384;
/// The number of crashes.
const CRASHES: usize = 3;
/// The time for which ordinary requests are counted after the last crash.
const COUNTED: Duration = Duration::from_secs(12);
/// The time that the rule takes to count a machine as in touch.
const STABLE: Duration = Duration::from_secs(4);

/// Plays the case. The disruption is that servers crash, each while it runs a request of this kind.
pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let mut deployment = Deployment::start(record, &SERVERS)?;
    let address = deployment.entries[0].address;
    let used = request("POST /hold/1", "p00", 15_000, &generation(""), "prompt 00").len();
    let parts = generation(&long_prefix(HEAD_BYTES, used, 0));
    record.note(format!(
        "each prompt has {} parts",
        parts.matches(":1").count()
    ));
    let send = |number: usize| -> Result<Client, String> {
        let mut client =
            Client::connect(address, Duration::from_secs(16)).map_err(|e| e.to_string())?;
        let (id, body) = (format!("p{number:02}"), format!("prompt {number:02}"));
        client
            .send("POST /hold/1", &id, 15_000, &parts, &body)
            .map_err(|e| e.to_string())?;
        record.note(format!("the client sends {id}"));
        Ok(client)
    };
    for number in 0..CRASHES {
        let _client = send(number)?;
        let server = running(record, number)?;
        if trouble {
            deployment.crash(server);
            sleep(Duration::from_secs(1));
            deployment.restart(server)?;
        }
        sleep(Duration::from_secs(1));
    }
    sleep(STABLE);
    let ordinary = Ordinary::start(address, record);
    let begin = Instant::now();
    let mut late = Vec::new();
    for number in CRASHES.. {
        if begin.elapsed() > COUNTED {
            break;
        }
        // The clients of this kind stay, like others that wait for a long answer.
        late.push(send(number)?);
        sleep(Duration::from_secs(3));
    }
    Ok(ordinary.check(record))
}

/// Waits for the server that runs a request.
fn running(record: &Record, number: usize) -> Result<&'static str, String> {
    for _ in 0..500 {
        let runs =
            |(name, _): &&(&str, _)| record.count(&format!("server {name} runs p{number:02}")) > 0;
        if let Some((name, _)) = SERVERS.iter().find(runs) {
            return Ok(name);
        }
        sleep(Duration::from_millis(10));
    }
    Err(format!("no server runs request {number}"))
}
