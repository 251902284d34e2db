//! The client by which the relay benchmark calls engines and entry instances.

use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use anyhow::{Result, ensure};
use azureway_wire::header;

use super::Timing;

/// A blocking HTTP client of an engine or an entry instance.
#[derive(Clone, Copy, Debug)]
pub struct Caller {
    address: SocketAddr,
}

/// A valid API key of an account in the default [`Layout`](crate::serve::Layout).
const API_KEY: &str = "wax-desk-key";
/// The time that a read may wait for data before the call fails.
const READ_TIMEOUT: Duration = Duration::from_secs(60);

impl Caller {
    /// Creates a client of the server at `address`.
    pub const fn new(address: SocketAddr) -> Self {
        Self { address }
    }

    /// Sends a request for a stream of `tokens` tokens and returns its connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection or the write fails.
    pub fn open(&self, tokens: u64) -> Result<TcpStream> {
        let body = format!(
            r#"{{"model":"advice","stream":true,"max_tokens":{tokens},"messages":[{{"role":"system","content":"House rules"}}]}}"#
        );
        let mut stream = TcpStream::connect(self.address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(READ_TIMEOUT))?;
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: {}\r\nauthorization: Bearer {API_KEY}\r\n\
             {}: urgent\r\n{}: 1\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
            self.address,
            header::RANK,
            header::WEIGHTS,
            body.len()
        );
        stream.write_all(format!("{head}{body}").as_bytes())?;
        Ok(stream)
    }

    /// Requests a stream of `tokens` tokens, reads it to its end and returns its latencies.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the stream ends without `[DONE]`.
    pub fn call(&self, tokens: u64) -> Result<Timing> {
        let start = Instant::now();
        let reader = BufReader::new(self.open(tokens)?);
        let (mut timing, mut last_event, mut done) = (Timing::default(), None, false);
        for line in reader.lines() {
            let line = line?;
            let Some(data) = line.strip_prefix("data:") else {
                continue;
            };
            done |= data.trim() == "[DONE]";
            let now = Instant::now();
            match last_event.replace(now) {
                None => timing.ttft = now - start,
                Some(previous) => timing.gaps.push(now - previous),
            }
            if done {
                break;
            }
        }
        ensure!(done, "the stream ended without [DONE]");
        Ok(timing)
    }
}
