//! The command `explain`, which asks entry instances to route a request without running it.

use std::io::Write;

use anyhow::{Context, Result};
use azureway_core::prelude::ErrorKind;
use clap::ArgMatches;

use super::clients;
use crate::printer::Printer;
use crate::report::{ExplainReport, ReportList};
use crate::{Exit, Failure};

/// Prints where each entry instance that the command names would route a request, and why.
pub(super) fn run<W: Write>(matches: &ArgMatches, mut printer: Printer<W>) -> Result<Exit> {
    let option = |name: &str| matches.get_one::<String>(name).map_or("", String::as_str);
    let body = match matches.get_one::<String>("request") {
        Some(path) => std::fs::read_to_string(path).with_context(|| format!("read {path}"))?,
        None => chat_request(matches, option("service")),
    };
    let mut reports = Vec::new();
    for client in clients(matches)? {
        let answer = client.explain(option("account"), option("rank"), &body);
        let answer = answer.map_err(|e| match e.kind() {
            ErrorKind::NotFound => Failure::new(Exit::NotFound, e),
            _ => Failure::new(Exit::Failed, e),
        })?;
        reports.push(ExplainReport::new(client.address(), answer));
    }
    printer.print(&ReportList(reports))?;
    Ok(Exit::Done)
}

/// Returns a chat-completions request with the messages of the command line. The first one is the
/// system message.
fn chat_request(matches: &ArgMatches, service: &str) -> String {
    let texts = matches.get_many::<String>("message").unwrap_or_default();
    let messages = texts.enumerate().map(|(index, text)| {
        let role = if index == 0 { "system" } else { "user" };
        serde_json::json!({ "role": role, "content": text })
    });
    let messages: Vec<_> = messages.collect();
    serde_json::json!({ "model": service, "stream": true, "messages": messages }).to_string()
}
