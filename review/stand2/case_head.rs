//! A client asks with HEAD on a kept connection for what a new configuration no longer has.

use std::thread::sleep;
use std::time::Duration;

use crate::Verdict;
use crate::client::Client;
use crate::deployment::{Deployment, config};
use crate::record::Record;

/// The time after the acknowledgement of a configuration by which it is in force, and a second more.
const APPLY: Duration = Duration::from_millis(3_500);
const PATIENCE: Duration = Duration::from_secs(4);

/// Plays the case. The disruption is a configuration without the route that the client asks on.
pub fn play(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let deployment = Deployment::start(record, &[("i-app-1", "app")])?;
    let mut client =
        Client::connect(deployment.entries[0].address, PATIENCE).map_err(|e| e.to_string())?;
    if trouble {
        deployment.store.put("config", "main", &config(2, false));
        record.note("the configuration no longer has the path /status/");
    }
    sleep(APPLY);
    let rounds = [("HEAD", "/status/1", "c1"), ("GET", "/plain/2", "c2")];
    let mut broken = false;
    for (method, path, id) in rounds {
        client
            .send(&format!("{method} {path}"), id, 3_000, "", "")
            .map_err(|e| e.to_string())?;
        record.note(format!("the client sends {id} {method} {path}"));
        let head = match client.read_head() {
            Ok(Some(head)) => head,
            other => return Err(format!("no answer to {id}: {other:?}")),
        };
        record.note(format!("the client reads {:?} for {id}", head.start));
        if head.status().is_none() {
            record.note("these bytes are no answer in the protocol");
            broken = true;
            break;
        }
        // The answer to HEAD has no body, whatever length it states.
        let length = if method == "HEAD" { 0 } else { head.length() };
        let body = client.read_body(length).map_err(|e| e.to_string())?;
        record.note(format!(
            "the client reads the body {:?}",
            String::from_utf8_lossy(&body)
        ));
        if head.get("connection") == Some("close") {
            break;
        }
    }
    Ok(if broken {
        Verdict::Broken
    } else {
        Verdict::Held
    })
}
