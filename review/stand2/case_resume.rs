//! A stream is resumed at another server, which crashes as well before it has sent an event.

use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::client::{Client, generation};
use crate::deployment::{Deployment, SERVERS};
use crate::http::read_chunk;
use crate::record::Record;
use crate::server::EVENTS;

const PATIENCE: Duration = Duration::from_secs(16);
/// The number of events that the client has when the first server crashes.
const FIRST_EVENTS: usize = 3;

/// Plays the case. The disruption is the crash of two servers, one after the other.
pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let deployment = Deployment::start(record, &SERVERS)?;
    let mut client =
        Client::connect(deployment.entries[0].address, PATIENCE).map_err(|e| e.to_string())?;
    let parts = generation("5c1e07a2:119,91bd3f06:79");
    client
        .send("POST /draft/1", "c1", 15_000, &parts, "notes")
        .map_err(|e| e.to_string())?;
    record.note("the client sends c1 POST /draft/1");
    let head = client
        .read_head()
        .map_err(|e| e.to_string())?
        .ok_or("no answer")?;
    record.note(format!("the client reads {:?}", head.start));
    let mut events = 0;
    let mut crashed = !trouble;
    loop {
        match read_chunk(client.reader()) {
            Ok(chunk) if chunk.is_empty() => {
                record.note(format!(
                    "the client reads the end of the stream after {events} events"
                ));
                let whole = events as u64 == EVENTS;
                return Ok(if whole {
                    Verdict::Held
                } else {
                    Verdict::Broken
                });
            }
            Ok(chunk) => {
                events += String::from_utf8_lossy(&chunk).matches("data:").count();
                record.note(format!("the client has {events} events"));
            }
            Err(e) => {
                record.note(format!("the stream broke after {events} events: {e}"));
                return Ok(Verdict::Held);
            }
        }
        if !crashed && events >= FIRST_EVENTS {
            crashed = true;
            crash_both(record, &deployment)?;
        }
    }
}

/// Kills the server that runs the request, and the one that resumes it once that has sent its head.
fn crash_both(record: &Record, deployment: &Deployment) -> Result<(), String> {
    let runs = |(name, _): &&(&str, _)| record.count(&format!("server {name} runs c1")) > 0;
    let (first, _) = SERVERS
        .iter()
        .find(runs)
        .ok_or("no server runs the request")?;
    deployment.crash(first);
    let end = Instant::now() + Duration::from_secs(5);
    while Instant::now() < end {
        let resumed =
            |(name, _): &&(&str, _)| record.has(&format!("server {name} has sent the head of c1"));
        if let Some((second, _)) = SERVERS.iter().find(resumed) {
            deployment.crash(second);
            return Ok(());
        }
        sleep(Duration::from_millis(5));
    }
    record.note("the request was not resumed");
    Ok(())
}
