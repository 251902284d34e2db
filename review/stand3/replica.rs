//! Stand-ins of the replicas of a service.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

use crate::http::{self, Message};
use crate::record::Record;
use crate::store::Store;

/// What a replica does with a request: writes to the connection, and returns whether the connection stays
/// open.
pub type Handler = Arc<dyn Fn(&Replica, &Message, &mut TcpStream) -> bool + Send + Sync>;

/// A replica of a service. Clones share its state.
#[derive(Clone)]
pub struct Replica {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub record: Record,
    /// The IDs of the client attempts that ran here, in order.
    pub runs: Arc<Mutex<Vec<String>>>,
}

impl Replica {
    /// Starts a replica on a free loopback port.
    pub fn start(id: &str, service: &str, record: &Record, handler: Handler) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a replica");
        let replica = Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr().expect("address of a replica"),
            record: record.clone(),
            runs: Arc::default(),
        };
        let server = replica.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (server, handler) = (server.clone(), Arc::clone(&handler));
                thread::spawn(move || server.serve(stream, &handler));
            }
        });
        replica
    }

    /// Registers the replica in the store.
    pub fn register(&self, store: &Store, seq: u64) {
        store.put("servers", &self.id, &self.entry(seq));
    }

    /// Returns the replica's entry in the store.
    pub fn entry(&self, seq: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"kranj-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"cold_remaining_ms\":0,\"born\":1790000000000,\"seq\":{seq}}}",
            self.service, self.address
        )
    }

    /// Returns the entry of a replica of a model.
    pub fn engine_entry(&self, seq: u64) -> String {
        let model = "\"stage\":\"colocated\",\"models\":[{\"name\":\"wax\",\"version\":1,\"adapters\":[]}],\"seq\"";
        let entry = self.entry(seq).replace("\"seq\"", model);
        entry.replace("\"slots\":6", "\"slots\":64")
    }

    fn serve(&self, stream: TcpStream, handler: &Handler) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = http::read_request(&mut reader) {
            let expected = request.header("azureway-expect-instance");
            if expected.is_some_and(|e| e != self.id) {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nAzureway-Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                if writer.write_all(head.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            if !handler(self, &request, &mut writer) {
                return;
            }
        }
    }

    /// Records that a request runs.
    pub fn run(&self, request: &Message) {
        let id = attempt_id(request);
        self.record
            .line(format!("replica {} runs {id}: {}", self.id, request.line));
        self.runs.lock().unwrap().push(id.to_owned());
    }

    /// Writes a complete signed answer to a request.
    pub fn answer(&self, request: &Message, body: &[u8], writer: &mut TcpStream) -> bool {
        let id = attempt_id(request);
        self.record
            .line(format!("replica {} answers {id} with 200", self.id));
        let mut bytes = format!(
            "HTTP/1.1 200 OK\r\nAzureway-Attempt-Id: {id}\r\nAzureway-Response-Signature: {}\r\nContent-Length: {}\r\n\r\n",
            signature(&self.id, id),
            body.len()
        )
        .into_bytes();
        bytes.extend_from_slice(body);
        writer.write_all(&bytes).is_ok()
    }
}

/// Returns the ID of a client attempt.
pub fn attempt_id(message: &Message) -> &str {
    message.header("azureway-attempt-id").unwrap_or("-")
}

/// Returns the signature of a replica's answer to a client attempt.
pub fn signature(replica: &str, attempt: &str) -> String {
    format!("{replica}.{attempt}")
}
