//! `explain`.

use std::io::Write;

use anyhow::{Context, Result};
use azureway_core::prelude::ErrorKind;
use clap::ArgMatches;

use super::clients;
use crate::report::{ExplainReport, List};
use crate::shell::Shell;
use crate::{Exit, Failure};

/// Tells where a request would go from each instance that the command names.
pub(super) fn run<W: Write>(matches: &ArgMatches, mut shell: Shell<W>) -> Result<Exit> {
    let text = |name: &str| matches.get_one::<String>(name).map_or("", String::as_str);
    let body = match matches.get_one::<String>("request") {
        Some(path) => std::fs::read_to_string(path).with_context(|| format!("read {path}"))?,
        None => request(matches, text("service")),
    };
    let mut reports = Vec::new();
    for client in clients(matches)? {
        let answer = client.explain(text("account"), text("rank"), &body);
        let answer = answer.map_err(|e| match e.kind() {
            ErrorKind::NotFound => Failure::new(Exit::NotFound, e),
            _ => Failure::new(Exit::Failed, e),
        })?;
        reports.push(ExplainReport::new(client.address(), answer));
    }
    shell.print(&List(reports))?;
    Ok(Exit::Done)
}

/// Returns a chat-completions request with the messages of the command line.
fn request(matches: &ArgMatches, service: &str) -> String {
    let texts = matches.get_many::<String>("message").unwrap_or_default();
    let messages = texts.enumerate().map(|(place, text)| {
        let role = if place == 0 { "system" } else { "user" };
        serde_json::json!({ "role": role, "content": text })
    });
    let messages: Vec<_> = messages.collect();
    serde_json::json!({ "model": service, "stream": true, "messages": messages }).to_string()
}
