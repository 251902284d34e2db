//! A platform on a loopback port and a runner of commands, shared by the command tests.

use std::fmt::Write as _;
use std::path::PathBuf;
use std::sync::Arc;

use azureway_cli::Exit;
use azureway_dev::http::HttpServer;
use azureway_dev::platform::Platform;

use crate::program::{execute, split_words};

/// A platform on a loopback port, and a way to run commands against it.
pub(crate) struct CliFixture {
    pub(crate) platform: Arc<Platform>,
    server: HttpServer,
}

/// The folder of the test data.
const TESTDATA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/testdata");

impl CliFixture {
    /// Creates a fixture whose platform holds no document.
    pub(crate) fn empty() -> Self {
        let platform = Arc::new(Platform::new());
        let server = HttpServer::start(Arc::clone(&platform)).expect("a free port");
        Self { platform, server }
    }

    /// Creates a fixture whose platform holds the test document, without a record of a change.
    pub(crate) fn new() -> Self {
        let fixture = Self::empty();
        fixture.platform.seed(
            "config",
            "document",
            include_str!("../../testdata/document.ini"),
        );
        fixture
    }

    /// Runs a command line and returns its exit code and output. `FILE` stands for the test
    /// document and `BAD` for one with faults.
    pub(crate) fn run(&self, words: &[String]) -> (Exit, String) {
        let address = self.server.address().to_string();
        let mut line = vec!["azureway".to_owned(), format!("--platform={address}")];
        line.extend(words.iter().map(|w| match w.as_str() {
            "FILE" => format!("{TESTDATA}/document.ini"),
            "BAD" => format!("{TESTDATA}/bad.ini"),
            word => word.to_owned(),
        }));
        execute(line)
    }

    /// Reads the document, edits it and saves it to a file, whose path is returned.
    pub(crate) fn save_document(&self, name: &str, edit: impl Fn(&str) -> String) -> String {
        let (_, text) = self.run(&split_words("config get"));
        save(name, &edit(&text))
    }

    /// Saves the document with 23 more services and the given numbers of more accounts and servers.
    /// Returns the path of the file and its size in bytes.
    pub(crate) fn write_large_document(
        &self,
        accounts: u32,
        servers: u32,
        name: &str,
    ) -> (String, u64) {
        let digest = "0123456789abcdef".repeat(4);
        let file = self.save_document(name, |text| {
            let mut text = text.to_owned();
            for number in 0..23 {
                let _ = write!(
                    text,
                    "\n[service model-{number:02}]\npool = engines\nweights = 7\n"
                );
            }
            for number in 0..servers {
                let _ = write!(
                    text,
                    "\n[server kranj-a-engine-{number:05}]\npool = engines\nzone = kranj-a\n\
                     address = 10.0.{}.{}:8000\nslots = 16\nprefill = 12000\nfenced = yes\n",
                    number / 250,
                    number % 250
                );
            }
            for number in 0..accounts {
                let key = format!("{number:04x}{}", &digest[4..]);
                let _ = write!(
                    text,
                    "\n; who to ask: the desk of client {number}\n[account client-{number:03}]\n\
                     team = operators\nlimit = 20000\nweight = 3\nkeys = {key}\n"
                );
            }
            text
        });
        let bytes = std::fs::metadata(&file).expect("a file").len();
        (file, bytes)
    }
}

fn save(name: &str, text: &str) -> String {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&path, text).expect("a file");
    path.to_str().expect("text").to_owned()
}
