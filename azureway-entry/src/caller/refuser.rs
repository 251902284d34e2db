//! Refusal of connections for which there is no room.

use std::io;
use std::net::{Shutdown, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use azureway_core::prelude::{Error, ErrorKind, Step};
use flume::{Receiver, Sender};

use super::TimedStream;

/// The duty that refuses connections one after the other, so that accepting others does not wait.
#[derive(Debug)]
pub struct Refuser<W> {
    connections: Receiver<TcpStream>,
    write: W,
}

/// The number of connections that wait for their refusal. Beyond it they are closed without one.
const CAPACITY: usize = 16;
/// The time for which the request of a refused connection is read and discarded. Closing a connection with
/// unread bytes resets it, and the refusal could be lost.
const LINGER_TIME: Duration = Duration::from_millis(100);
/// The stack size of the thread, in bytes.
const STACK_SIZE: usize = 128 * 1024;

impl<W: Fn(&TcpStream) -> io::Result<()> + Send + 'static> Refuser<W> {
    /// Starts the duty, which writes each refusal with `write`. Returns the ring of the connections to
    /// refuse; the duty ends when it is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(write: W) -> Result<Sender<TcpStream>, Error> {
        let (ring, connections) = flume::bounded(CAPACITY);
        let duty = Self { connections, write };
        let thread = thread::Builder::new()
            .name("refuse".to_owned())
            .stack_size(STACK_SIZE);
        let started = thread.spawn(move || duty.run());
        started.map_err(|e| Error::new(ErrorKind::System, Step::new("start thread"), e))?;
        Ok(ring)
    }

    fn run(self) {
        for stream in &self.connections {
            if let Err(e) = self.refuse(&stream) {
                log::debug!(step = "accept", error:% = e; "sending a refusal failed");
            }
        }
    }

    fn refuse(&self, stream: &TcpStream) -> io::Result<()> {
        stream.set_write_timeout(Some(LINGER_TIME))?;
        (self.write)(stream)?;
        stream.shutdown(Shutdown::Write)?;
        let mut rest = TimedStream::new(stream, Instant::now() + LINGER_TIME);
        io::copy(&mut rest, &mut io::sink()).map(drop)
    }
}
