//! Tests of an entry daemon in front of backend servers that say with their answers that they leave.

mod support;

use std::io::{Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Instant;

use flume::{Receiver, Sender};
use googletest::prelude::*;
use support::{Server, SiteFixture, TEST_TIMEOUT, read_answer};

/// The answer of a server that stays.
const STAYS: &str = "HTTP/1.1 200 OK\r\nx-sign: 1\r\ncontent-length: 2\r\n\r\nok";
/// The answer of a server that leaves.
const LEAVES: &str = "HTTP/1.1 200 OK\r\nx-sign: 1\r\nx-leaving: 1\r\ncontent-length: 2\r\n\r\nok";
/// The number of requests that are sent after an answer that names the leaving.
const LATER: usize = 12;

fn send(fixture: &SiteFixture) -> TcpStream {
    let mut stream = TcpStream::connect(fixture.address()).expect("a connection");
    let limit = Some(TEST_TIMEOUT);
    stream.set_read_timeout(limit).expect("a timeout");
    let head = b"GET /safe/ HTTP/1.1\r\nhost: one\r\n\r\n";
    stream.write_all(head).expect("sent");
    stream
}

fn fetch(fixture: &SiteFixture) -> String {
    read_answer(&mut send(fixture))
}

/// Two servers. The one that gets the first request behind [`entry`](Pair::entry) leaves.
struct Pair {
    servers: [Server; 2],
    /// Whether the next request decides which server leaves.
    ready: Arc<AtomicBool>,
    /// The number of requests that the leaving server has got.
    count: Arc<AtomicUsize>,
}

impl Pair {
    /// Starts the servers. The leaving one answers with `leave`, the other one stays.
    fn start(leave: impl Fn(&mut TcpStream) + Clone + Send + Sync + 'static) -> Self {
        let (leaver, count) = (Arc::new(OnceLock::new()), Arc::new(AtomicUsize::new(0)));
        let ready = Arc::new(AtomicBool::new(false));
        let servers = [0, 1].map(|number| {
            let (leaver, count, leave) = (Arc::clone(&leaver), Arc::clone(&count), leave.clone());
            let ready = Arc::clone(&ready);
            Server::start(move |_, stream| {
                if ready.load(Ordering::SeqCst) && *leaver.get_or_init(|| number) == number {
                    count.fetch_add(1, Ordering::SeqCst);
                    leave(stream);
                } else {
                    // The daemon may have closed the connection.
                    let _ = stream.write_all(STAYS.as_bytes());
                }
            })
        });
        Self {
            servers,
            ready,
            count,
        }
    }

    /// Returns an entry daemon that has read the list with both.
    fn entry(&self) -> SiteFixture {
        let fixture = SiteFixture::start_in_front_of(&[&self.servers[0], &self.servers[1]]);
        fetch(&fixture);
        self.ready.store(true, Ordering::SeqCst);
        fixture
    }

    fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

// Guards against requests that follow an answer, whatever its status, that says that its server
// leaves: on new connections, on kept ones, and while the platform is away.
#[gtest]
fn a_server_that_says_it_leaves_gets_nothing_later() {
    let answers = [
        LEAVES,
        "HTTP/1.1 404 None\r\nx-sign: 1\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 500 Oops\r\nx-sign: 1\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 503 Full\r\nx-not-run: 1\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 429 Many\r\nx-not-run: 1\r\nx-leaving: 1\r\ncontent-length: 0\r\n\r\n",
    ];
    for text in answers {
        for platform_fails in [false, true] {
            let pair = Pair::start(move |stream| drop(stream.write_all(text.as_bytes())));
            let fixture = pair.entry();
            if platform_fails {
                fixture.fail_platform();
            }
            fetch(&fixture);
            for _ in 0..LATER {
                expect_that!(fetch(&fixture), ends_with("ok"), "{text}");
            }
            expect_that!(pair.count(), eq(1), "{text}");
        }
    }
}

// Guards against a stream that names the leaving only at its end: the head counts.
#[gtest]
fn a_stream_s_head_counts_while_the_stream_runs() {
    let pair = Pair::start(|stream| {
        let head = "HTTP/1.1 200 OK\r\nx-sign: 1\r\nx-leaving: 1\r\ntransfer-encoding: chunked\r\n\
                    content-type: text/event-stream\r\n\r\nf\r\nid: 0\ndata: a\n\n\r\n";
        let _ = stream.write_all(head.as_bytes());
        // The stream goes on until the caller is gone.
        let _ = stream.read(&mut [0]);
    });
    let fixture = pair.entry();
    let mut running = send(&fixture);
    running.read_exact(&mut [0]).expect("the head");
    for _ in 0..LATER {
        expect_that!(fetch(&fixture), ends_with("ok"));
    }
    expect_that!(pair.count(), eq(1));
}

// Guards against callers that wait until their deadline for a pool that all servers leave.
#[gtest]
fn a_pool_that_all_servers_leave_refuses_at_once() {
    let count = Arc::new(AtomicUsize::new(0));
    let seen = Arc::clone(&count);
    let server = Server::start(move |_, stream| {
        seen.fetch_add(1, Ordering::SeqCst);
        let _ = stream.write_all(LEAVES.as_bytes());
    });
    let fixture = SiteFixture::start_in_front_of(&[&server]);
    expect_that!(fetch(&fixture), starts_with("HTTP/1.1 200 "));
    let refused = fetch(&fixture);
    expect_that!(refused.as_str(), starts_with("HTTP/1.1 503 "));
    expect_that!(refused.as_str(), contains_substring("retry-after: "));
    expect_that!(refused.as_str(), contains_substring("\"not_run\":true"));
    expect_that!(count.load(Ordering::SeqCst), eq(1));
}

/// A server whose first answers wait until they are released, and say then that it leaves. Later ones
/// say nothing.
fn held(released: Receiver<()>, connected: Sender<u16>) -> (Server, Arc<AtomicBool>) {
    let open = Arc::new(AtomicBool::new(false));
    let later = Arc::clone(&open);
    let server = Server::start(move |_, stream| {
        // The test lets later requests pass once it has seen the port of this one.
        let later = later.load(Ordering::SeqCst);
        let _ = connected.send(stream.peer_addr().expect("an address").port());
        if later {
            let _ = stream.write_all(STAYS.as_bytes());
        } else {
            let _ = released.recv();
            let _ = stream.write_all(LEAVES.as_bytes());
        }
    });
    (server, open)
}

// Guards against the words of an earlier incarnation, which arrive late or over a connection kept from
// it, that take the current one out of service.
#[gtest]
fn an_earlier_incarnation_speaks_for_itself_only() {
    let (release, released) = flume::bounded(0);
    let (connected, connections) = flume::unbounded();
    let (server, open) = held(released, connected);
    let fixture = SiteFixture::start_in_front_of(&[&server]);
    let mut late = send(&fixture);
    let first = connections.recv_timeout(TEST_TIMEOUT).expect("a request");
    open.store(true, Ordering::SeqCst);
    fetch(&fixture);
    let kept = connections.recv_timeout(TEST_TIMEOUT).expect("a request");
    fixture.list("s0", &server, 2);
    // A request on another connection shows that the daemon knows of the new incarnation.
    let end = Instant::now() + TEST_TIMEOUT;
    let mut port = kept;
    while port == kept && Instant::now() < end {
        fetch(&fixture);
        port = connections.recv_timeout(TEST_TIMEOUT).expect("a request");
    }
    release.send(()).expect("the first request waits");
    expect_that!(read_answer(&mut late), starts_with("HTTP/1.1 200 "));
    for _ in 0..LATER {
        expect_that!(fetch(&fixture), ends_with("ok"));
        let port = connections.recv_timeout(TEST_TIMEOUT).expect("a request");
        expect_that!(port, all![not(eq(first)), not(eq(kept))]);
    }
}

// Guards against an announcement that outlives its incarnation.
#[gtest]
fn a_new_incarnation_is_served_again() {
    let left = Arc::new(AtomicBool::new(false));
    let says = Arc::clone(&left);
    let server = Server::start(move |_, stream| {
        let first = !says.swap(true, Ordering::SeqCst);
        let answer = if first { LEAVES } else { STAYS };
        let _ = stream.write_all(answer.as_bytes());
    });
    let fixture = SiteFixture::start_in_front_of(&[&server]);
    fetch(&fixture);
    expect_that!(fetch(&fixture), starts_with("HTTP/1.1 503 "));
    fixture.list("s0", &server, 2);
    let end = Instant::now() + TEST_TIMEOUT;
    while Instant::now() < end && !fetch(&fixture).starts_with("HTTP/1.1 200 ") {}
    expect_that!(fetch(&fixture), starts_with("HTTP/1.1 200 "));
}
