//! Fixtures for tests of a whole site: a test site, its backend server and the entry daemon.
#![expect(unreachable_pub, reason = "a test's module has no outside")]
#![allow(dead_code, reason = "each test uses only some of the helpers")]

#[path = "../dialect/mod.rs"]
mod dialect;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::Duration;

use azureway_config::settings::{EntrySettings, SiteSettings};
use azureway_core::prelude::*;
use azureway_dev::http::HttpServer;
use azureway_dev::platform::{Platform, PlatformFaults};
use azureway_entry::admit::UpstreamRequest;
use azureway_entry::caller::Head;
use azureway_entry::daemon::Gateway;
use azureway_entry::exchange::{AnswerHead, AnswerMetadata, BackendDialect};
use azureway_entry::feed::HttpFeed;
use azureway_entry::order::HttpOrders;
use azureway_entry::routed::{CallMetadata, CallerDialect};
use azureway_entry::site::{SiteCodec, SiteKind};
use azureway_objects::PlainCodec;
use azureway_wire::object::ObjectBody;
use dialect::TestDialect;
use flume::{Receiver, Sender};

/// The bound on a wait, so that a failing test cannot hang. No result depends on it.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// The time limit of the routes under `/brief/`.
const BRIEF_TIMEOUT: Duration = Duration::from_millis(300);

/// The grace period of an entry daemon for which a test sets none.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(8);

/// A site with a header format and objects of its own.
#[derive(Clone, Copy)]
struct TestSite;

impl CallerDialect for TestSite {
    fn read<'a>(&self, head: &'a Head) -> Result<CallMetadata<'a>, &'static str> {
        let wait = head.get("x-wait").map(|w| w.parse().map_err(|_| "no wait"));
        Ok(CallMetadata {
            attempt_id: head.get("x-attempt"),
            api_key: head.get("x-key"),
            timeout: wait.transpose()?.map(Duration::from_millis),
            max_output: TokenCount::new(1),
            ..CallMetadata::default()
        })
    }

    fn is_withheld(&self, name: &str) -> bool {
        name == "x-key"
    }
}

impl BackendDialect for TestSite {
    fn write_headers(
        &self,
        dispatch: &Dispatch,
        call: &UpstreamRequest,
        remaining: Duration,
        out: &mut String,
    ) {
        TestDialect.write_headers(dispatch, call, remaining, out);
    }

    fn read<'a>(&self, head: &'a AnswerHead) -> AnswerMetadata<'a> {
        TestDialect.read(head)
    }
}

impl SiteCodec for TestSite {
    fn kind(&self, kind: SiteKind) -> &'static str {
        kind.as_str()
    }

    fn document(&self, object: &ObjectBody) -> Result<Option<SiteDocument>, Error> {
        let mut routes = RouteTable::new();
        for (prefix, kind, public) in [
            ("/safe/", RequestKind::Repeatable, true),
            ("/once/", RequestKind::AtMostOnce, true),
            ("/keyed/", RequestKind::Repeatable, false),
        ] {
            routes.insert(route(prefix, kind, public));
        }
        for (prefix, kind) in [
            ("/brief/", RequestKind::Repeatable),
            ("/brief/once/", RequestKind::AtMostOnce),
        ] {
            routes.insert(Route {
                timeout: BRIEF_TIMEOUT,
                ..route(prefix, kind, true)
            });
        }
        routes.insert(Route {
            timeout: Duration::MAX,
            target_latency: Duration::MAX,
            ..route("/endless/", RequestKind::Repeatable, true)
        });
        let account = ClientAccount::new(AccountId::new("small")).with_key(KeyHash::of("good"));
        Ok(Some(SiteDocument {
            version: ConfigVersion::new(object.version),
            routes,
            services: vec![service()],
            accounts: vec![account],
            limit_faults: Vec::new(),
            limits: CallerLimits::new(),
        }))
    }

    fn server(&self, object: &ObjectBody) -> Result<ListedServer, Error> {
        let (address, incarnation) = object.value.split_once(' ').unwrap_or((&object.value, "1"));
        let address = address.parse();
        let bad = |e| Error::new(ErrorKind::Protocol, Step::new("read server"), e);
        Ok(ListedServer {
            id: ServerId::new(&object.name),
            service: ServiceId::new("orders"),
            address: address.map_err(|e: std::net::AddrParseError| bad(e.to_string()))?,
            zone: ZoneId::new("a"),
            slots: 8,
            leaving: false,
            incarnation: Incarnation::new(incarnation.parse().expect("a number")),
            weights: None,
        })
    }

    fn weights(&self, _: &ObjectBody) -> Result<NamedWeights, Error> {
        Err(Error::new(
            ErrorKind::Protocol,
            Step::new("read weights"),
            "none here",
        ))
    }
}

fn service() -> SiteService {
    SiteService {
        feed_limit: None,
        capacity: None,
        id: ServiceId::new("orders"),
        model: None,
        peer_fetch: false,
        store: None,
    }
}

fn route(prefix: &str, kind: RequestKind, public: bool) -> Route {
    Route {
        id: RouteId::new(prefix),
        host: "one".into(),
        prefix: prefix.into(),
        splits: [(ServiceId::new("orders"), 1)].into_iter().collect(),
        kind,
        streamed: false,
        public,
        rank: Rank::Urgent,
        priority: 0,
        max_attempts: 2,
        timeout: TEST_TIMEOUT,
        target_latency: TEST_TIMEOUT,
    }
}

/// A backend server that answers each request with a function.
pub struct Server {
    address: SocketAddr,
    requests: Receiver<()>,
}

impl Server {
    /// Starts a server on a free port.
    pub fn start(answer: impl Fn(&str, &mut TcpStream) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let address = listener.local_addr().expect("an address");
        let (received, requests) = flume::bounded(64);
        let answer = Arc::new(answer);
        thread::spawn(move || {
            for stream in listener.incoming() {
                let (answer, received) = (Arc::clone(&answer), received.clone());
                let stream = stream.expect("a connection");
                thread::spawn(move || serve(stream, &received, answer.as_ref()));
            }
        });
        Self { address, requests }
    }

    /// Waits until a request has arrived.
    pub fn wait_request(&self) {
        self.requests.recv_timeout(TEST_TIMEOUT).expect("a request");
    }

    /// Returns whether another request has arrived, which then counts as seen.
    pub fn has_request(&self) -> bool {
        self.requests.try_recv().is_ok()
    }
}

fn serve(mut stream: TcpStream, received: &Sender<()>, answer: &impl Fn(&str, &mut TcpStream)) {
    while let Some(request) = read_request(&mut stream) {
        // Tests wait for the first requests only, so a full ring is no error.
        let _ = received.try_send(());
        answer(&request, &mut stream);
    }
}

fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = read_head(stream)?;
    let length = length(&text);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).ok()?;
    text.push_str(&String::from_utf8(body).ok()?);
    Some(text)
}

fn read_head(stream: &mut TcpStream) -> Option<String> {
    let (mut bytes, mut byte) = (Vec::new(), [0]);
    while !bytes.ends_with(b"\r\n\r\n") {
        stream.read_exact(&mut byte).ok()?;
        bytes.push(byte[0]);
    }
    String::from_utf8(bytes).ok()
}

fn length(head: &str) -> usize {
    let line = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    line.map_or(0, |l| l.parse().expect("a length"))
}

/// Writes a successful answer with a body.
pub fn answer(stream: &mut TcpStream, body: &str) {
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-sign: 1\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    // The test checks the caller's side, which may have disconnected.
    let _ = stream.write_all(head.as_bytes());
    let _ = stream.write_all(body.as_bytes());
}

/// Reads one answer with a `content-length`.
pub fn read_answer(stream: &mut TcpStream) -> String {
    read_request(stream).expect("an answer")
}

/// Returns the status of `GET /ready` at an address.
pub fn status(address: SocketAddr) -> u16 {
    let answer = minreq::get(format!("http://{address}/ready")).send();
    answer.expect("an answer").status_code
}

/// A running entry daemon of a test site, with its platform.
pub struct SiteFixture {
    gateway: Gateway,
    ready: SocketAddr,
    platform: Arc<Platform>,
    _platform_server: HttpServer,
}

/// An entry daemon that is draining.
pub struct DrainingSite {
    /// The address that callers reach.
    pub address: SocketAddr,
    /// The thread that drains the entry daemon and ends with the drain.
    pub thread: JoinHandle<()>,
}

impl SiteFixture {
    /// Starts an entry daemon and waits until it is ready. Without a server the platform holds no
    /// configuration, and the daemon never becomes ready.
    pub fn start(server: Option<&Server>) -> Self {
        Self::start_ready(server, SHUTDOWN_GRACE)
    }

    /// Starts an entry daemon with a grace period and waits until it is ready.
    pub fn start_with_grace(server: &Server, grace: Duration) -> Self {
        Self::start_ready(Some(server), grace)
    }

    fn start_ready(server: Option<&Server>, grace: Duration) -> Self {
        let platform = Arc::new(Platform::new());
        if let Some(server) = server {
            platform.seed("servers", "s", &server.address.to_string());
            platform.seed("document", "main", "");
        }
        let any = "127.0.0.1:0".parse().expect("an address");
        let fixture = Self::start_with(platform, any, grace).expect("the entry starts");
        while server.is_some() && fixture.ready() != 200 {
            thread::yield_now();
        }
        fixture
    }

    /// Starts an entry daemon in front of several servers, which are listed by their position as `s0`,
    /// `s1` and so on, and waits until it is ready.
    pub fn start_in_front_of(servers: &[&Server]) -> Self {
        let platform = Arc::new(Platform::new());
        for (number, server) in servers.iter().enumerate() {
            let address = server.address.to_string();
            platform.seed("servers", &format!("s{number}"), &address);
        }
        platform.seed("document", "main", "");
        let any = "127.0.0.1:0".parse().expect("an address");
        let fixture = Self::start_with(platform, any, SHUTDOWN_GRACE).expect("the entry starts");
        while fixture.ready() != 200 {
            thread::yield_now();
        }
        fixture
    }

    /// Lists an incarnation of a server at the platform.
    pub fn list(&self, name: &str, server: &Server, incarnation: u64) {
        let value = format!("{} {incarnation}", server.address);
        self.platform.seed("servers", name, &value);
    }

    /// Makes every call of the platform fail from now on.
    pub fn fail_platform(&self) {
        let faults = PlatformFaults {
            outage: true,
            ..PlatformFaults::default()
        };
        self.platform.set_faults(faults);
    }

    /// Starts an entry daemon for callers at `address`. Returns the error's text if it fails.
    pub fn start_on(address: SocketAddr) -> Result<(), String> {
        let platform = Arc::new(Platform::new());
        Self::start_with(platform, address, SHUTDOWN_GRACE).map(drop)
    }

    fn start_with(
        platform: Arc<Platform>,
        listen: SocketAddr,
        grace: Duration,
    ) -> Result<Self, String> {
        let platform_server =
            HttpServer::start(Arc::clone(&platform)).map_err(|e| e.to_string())?;
        let (instance, zone) = (InstanceId::new("entry"), ZoneId::new("a"));
        let settings =
            EntrySettings::new(instance, zone, platform_server.address()).with_listen(listen);
        let site = SiteSettings {
            ready: "127.0.0.1:0".parse().expect("an address"),
            zones: Vec::new(),
            retry_percent: 20,
            retry_slack: 50,
            retry_window: Duration::from_secs(10),
            lease_term: Duration::from_secs(3),
            startup_grace: Duration::ZERO,
            change_limit: Duration::from_secs(1),
            rollout_timeout: Duration::from_secs(8),
            shutdown_grace: grace,
        };
        let gateway = Gateway::start(&settings, &site, TestSite, PlainCodec, HttpOrders, HttpFeed);
        let gateway = gateway.map_err(|e| e.to_string())?;
        Ok(Self {
            ready: gateway.ready_address().expect("an address"),
            gateway,
            platform,
            _platform_server: platform_server,
        })
    }

    /// Returns the address that callers reach.
    pub fn address(&self) -> SocketAddr {
        self.gateway.address()
    }

    /// Returns the address of the readiness endpoint.
    pub fn ready_address(&self) -> SocketAddr {
        self.ready
    }

    /// Returns the status of the readiness endpoint, which the load balancer reads.
    pub fn ready(&self) -> u16 {
        status(self.ready)
    }

    /// Starts draining the entry daemon.
    pub fn drain(self) -> DrainingSite {
        let address = self.address();
        let thread = thread::spawn(move || self.gateway.drain());
        DrainingSite { address, thread }
    }
}
