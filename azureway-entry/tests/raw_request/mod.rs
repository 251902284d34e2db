//! Reading of a request from a socket.
#![expect(unreachable_pub, reason = "a test's module has no outside")]

use std::io::Read;
use std::net::TcpStream;
use std::time::Duration;

/// The request body of every case.
pub const BODY: &[u8] = b"body";
/// The bound on a wait, so that a failing test cannot hang. No result depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads a request with this body, and returns it.
pub fn read_request(stream: &mut TcpStream) -> String {
    stream
        .set_read_timeout(Some(TEST_TIMEOUT))
        .expect("a timeout");
    let (mut bytes, mut buffer) = (Vec::new(), [0; 1024]);
    while !bytes.ends_with(b"\r\n\r\nbody") {
        let count = stream.read(&mut buffer).expect("the request");
        assert!(count > 0, "the connection was closed");
        bytes.extend_from_slice(&buffer[..count]);
    }
    String::from_utf8(bytes).expect("text")
}
