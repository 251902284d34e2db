//! The stand-ins and the cases of the third review. `stand CASE` runs one case.

mod case_cut_body;
mod case_feed;
mod case_stray_answer;
mod client;
mod entry;
mod http;
mod json;
mod record;
mod replica;
mod store;

use std::path::{Path, PathBuf};
use std::{env, fs, process};

use record::Record;
use store::Store;

/// What a case runs in: a temporary folder, a store and the record.
pub struct Stand {
    pub dir: PathBuf,
    pub store: Store,
    pub record: Record,
    /// Whether the disruption happens.
    pub trouble: bool,
}

/// The outcome of a case.
pub enum Outcome {
    Held,
    Broken,
    NotRun(String),
}

/// A desired state of one service of plain replicas, with a route of each kind.
pub fn config(version: u64, service: &str, extra_route: &str) -> String {
    let route = |name: &str, prefix: &str, kind: &str, attempts: u32| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"shop.example\",\"path_prefix\":\"{prefix}\",\"kind\":\"{kind}\",\"timeout_ms\":5000,\"target_latency_ms\":200,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":{attempts},\"public\":false,\"sticky\":false,\"resumable\":false}}"
        )
    };
    let routes = [
        route("r-deposit", "/deposit/", "unsafe", 1),
        route("r-status", "/status/", "safe", 2),
        extra_route.to_owned(),
    ];
    let routes: Vec<String> = routes.into_iter().filter(|r| !r.is_empty()).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"{service}\",\"health_path\":\"/health\",\"max_connections\":96,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[]}}",
        routes.join(",")
    )
}

/// A desired state of a service of model replicas, with a streaming route.
pub fn engine_config(version: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{{\"name\":\"r-notes\",\"host\":\"shop.example\",\"path_prefix\":\"/notes/\",\"kind\":\"streaming\",\"timeout_ms\":5000,\"target_latency_ms\":1500,\"priority\":2,\"service\":\"wax-llm\",\"max_attempts\":1,\"public\":false,\"sticky\":true,\"resumable\":false,\"gap_target_ms\":400}}],\"services\":[{{\"name\":\"wax-llm\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":64,\"kv_capacity_tokens\":101825,\"kv_token_bytes\":163840,\"link_mbps\":550000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"max_inflight\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"wax\"}}]}}}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[]}}"
    )
}

fn main() {
    let mut words = env::args().skip(1);
    let case = words.next().unwrap_or_default();
    let folder = words.next().unwrap_or_else(|| "/tmp".to_owned());
    let dir = env::temp_dir().join(format!("azureway-review-{}", process::id()));
    fs::create_dir_all(&dir).expect("create a temporary folder");
    let stand = Stand {
        dir: dir.clone(),
        store: Store::start(),
        record: Record::create(&Path::new(&folder).join("record.txt")),
        trouble: env::var("TROUBLE").as_deref() != Ok("0"),
    };
    stand
        .record
        .line(format!("case {case}, trouble: {}", stand.trouble));
    let outcome = match case.as_str() {
        "cut-body" => case_cut_body::run(&stand),
        "feed" => case_feed::run(&stand),
        "stray-answer" => case_stray_answer::run(&stand),
        _ => Outcome::NotRun("there is no such case".to_owned()),
    };
    let code = match &outcome {
        Outcome::Held => 0,
        Outcome::Broken => 1,
        Outcome::NotRun(_) => 2,
    };
    let text = match outcome {
        Outcome::Held => "the rule held".to_owned(),
        Outcome::Broken => "the rule was broken".to_owned(),
        Outcome::NotRun(reason) => format!("the case could not run: {reason}"),
    };
    stand.record.line(&text);
    println!("{text}");
    let _ = fs::remove_dir_all(&dir);
    process::exit(code);
}
