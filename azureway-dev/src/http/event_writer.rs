//! Writes streamed answers as server-sent events.

use std::io::{self, Write};

use azureway_core::prelude::Incarnation;
use azureway_wire::header;
use tiny_http::Request;

/// Writes a stream of server-sent events. The HTTP library hands out its connection as a boxed
/// `dyn Write`, which this type encapsulates.
pub struct EventWriter {
    out: Box<dyn Write + Send + 'static>,
}

impl EventWriter {
    /// Takes over the connection of `request` and writes the response head, with the ID of the
    /// attempt and, if the engine leaves, the incarnation that does.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub fn new(request: Request, attempt: &str, leaving: Option<Incarnation>) -> io::Result<Self> {
        let mut out = request.into_writer();
        let leaving = leaving.map(|i| format!("{}: {i}\r\n", header::LEAVING));
        let leaving = leaving.unwrap_or_default();
        write!(
            out,
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\
             {}: {attempt}\r\n{leaving}transfer-encoding: chunked\r\n\r\n",
            header::ATTEMPT
        )?;
        out.flush()?;
        Ok(Self { out })
    }

    /// Writes one event with its position as its ID.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub fn event(&mut self, position: u64, data: &str) -> io::Result<()> {
        let text = format!("id: {position}\ndata: {data}\n\n");
        write!(self.out, "{:x}\r\n{text}\r\n", text.len())?;
        self.out.flush()
    }

    /// Writes a comment, which keeps the connection alive.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub fn comment(&mut self) -> io::Result<()> {
        self.out.write_all(b"3\r\n:\n\n\r\n")?;
        self.out.flush()
    }

    /// Ends the stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub fn end(&mut self) -> io::Result<()> {
        self.out.write_all(b"0\r\n\r\n")?;
        self.out.flush()
    }
}
