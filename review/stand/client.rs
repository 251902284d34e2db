//! Clients that keep connections open.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{Conn, Head};

/// The API key of the tenant whose clients these are.
pub const KEY: &str = "key-of-the-review";

static NEXT: AtomicU64 = AtomicU64::new(1);

/// Returns the id of a new client attempt.
pub fn attempt_id() -> String {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!("{:08x}{number:08x}", std::process::id())
}

/// Opens a connection to a machine.
pub fn connect(address: SocketAddr) -> io::Result<Conn> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(20)))?;
    stream.set_write_timeout(Some(Duration::from_secs(20)))?;
    Ok(Conn::new(stream))
}

/// Returns the bytes of a request.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, body: &[u8]) -> Vec<u8> {
    let mut text = format!(
        "{method} {path} HTTP/1.1\r\nHost: review.example\r\nAzureway-Attempt-Id: {id}\r\n\
         Azureway-Deadline-Ms: {deadline_ms}\r\nAuthorization: Token {KEY}\r\n"
    );
    if method != "GET" {
        text.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}

/// Sends a request and reads its whole answer.
pub fn exchange(conn: &mut Conn, bytes: &[u8]) -> io::Result<(Head, Vec<u8>)> {
    conn.send(bytes)?;
    let head = conn.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = conn.body(&head)?;
    Ok((head, body))
}

/// Returns the desired state with one tenant and the given routes and services.
pub fn config(version: u64, routes: &[String], services: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{}],\"limits\":{{\"max_header_bytes\":16384,\
         \"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"tenants\":[{{\"name\":\"bench-1\",\"api_keys\":[\"{KEY}\"],\"priority\":1,\"isolated\":false}}]}}",
        routes.join(","),
        services.join(",")
    )
}

/// Returns a plain service.
pub fn plain_service(name: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"health_path\":\"/health\",\"max_connections\":360,\"protocol\":\"h1\",\"tls\":false}}"
    )
}

/// Returns the entry of a replica in the store.
pub fn replica(service: &str, address: SocketAddr, zone: &str, slots: u32, born: u64) -> String {
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
         \"slots\":{slots},\"state\":\"ready\",\"cold_remaining_ms\":0,\"seq\":1,\"born\":{born}}}"
    )
}

/// Returns the Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |t| t.as_millis() as u64)
}
