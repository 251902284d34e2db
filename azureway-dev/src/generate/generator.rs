//! Generates the trace of a case from a seed.

use std::ops::Range;

use azureway_core::prelude::{PrefixKey, Rendezvous, ServerId};
use fastrand::Rng;

use super::{Burst, Case, Population, Workload};
use crate::trace::{Header, PeerRequest, PromptLevels, Record, Trace, TraceRequest};

/// The trace generator. It returns the same trace for the same case and seed.
#[derive(Debug)]
pub struct Generator {
    workload: Workload,
    population: Population,
    rng: Rng,
    trace: Trace,
}

/// The names of the availability zones.
const ZONES: [&str; 3] = ["kranj-a", "maribor-a", "koper-a"];
/// The number of engines in each zone.
const ENGINES: usize = 3;
/// The share of the requests of other entries that go to a random engine, not to the one that
/// their prefix prefers.
const RANDOM_SHARE: f64 = 0.2;
/// The number of milliseconds in a second.
const MILLIS_PER_SECOND: f64 = 1_000.0;

impl Generator {
    /// Creates a generator for a case.
    pub fn new(case: Case, seed: u64) -> Self {
        let workload = Workload::for_case(case);
        let header = Header {
            seed,
            zones: ZONES.map(str::to_owned).to_vec(),
            regions: workload.regions.map(str::to_owned).to_vec(),
            engines: ENGINES,
            accounts: Population::accounts(),
            cache_blocks: workload.cache_blocks,
            link_latency: workload.link_latency,
        };
        Self {
            population: Population::new(&workload),
            rng: Rng::with_seed(seed),
            trace: Trace::new(header),
            workload,
        }
    }

    /// Generates the trace.
    pub fn generate(mut self) -> Trace {
        self.trace.levels = self.population.levels(&mut self.rng);
        let span = 0.0..self.workload.seconds;
        self.add_burst(&Burst::new(span.clone(), self.workload.entry_rate));
        for burst in self.workload.bursts.clone() {
            self.add_burst(&burst);
        }
        self.add_peer_requests(span.clone(), 0, self.workload.zone_rate);
        for zone in 1..ZONES.len() {
            self.add_peer_requests(span.clone(), zone, self.workload.outside_rate);
        }
        self.add_incidents();
        self.trace.records.sort_by_key(|(at, _)| *at);
        self.trace.levels = used_levels(&self.trace);
        self.trace
    }

    fn add_burst(&mut self, burst: &Burst) {
        for at in self.times(&burst.span, burst.rate) {
            let mut request = self.draw_request(burst.account, burst);
            if let (Some(hot_level), Some(level)) = (burst.hot_level, request.levels.get_mut(1)) {
                *level = hot_level.to_owned();
                request.levels.truncate(2);
            }
            self.trace.records.push((at, Record::Request(request)));
        }
    }

    fn draw_request(&mut self, account: Option<usize>, burst: &Burst) -> TraceRequest {
        self.population
            .random_request(&mut self.rng, account, burst.kind)
    }

    fn add_peer_requests(&mut self, span: Range<f64>, zone: usize, rate: f64) {
        let numbers = 1..=ENGINES;
        let names = numbers.map(|n| Header::engine_name(ZONES[zone], n));
        let servers: Vec<ServerId> = names.map(|n| ServerId::new(&n)).collect();
        for at in self.times(&span, rate) {
            let request = self.population.random_request(&mut self.rng, None, None);
            let server = self.pick_engine(&servers, &request).as_str().to_owned();
            let record = Record::PeerRequest(PeerRequest { server, request });
            self.trace.records.push((at, record));
        }
    }

    /// Picks the engine as an entry instance does that knows only the prefix, by rendezvous
    /// hashing. A share of the requests gets a random engine.
    fn pick_engine<'a>(&mut self, servers: &'a [ServerId], request: &TraceRequest) -> &'a ServerId {
        let is_random = self.rng.f64() < RANDOM_SHARE;
        let hash = if is_random {
            self.rng.u64(..)
        } else {
            prefix_hash(request)
        };
        let rendezvous = Rendezvous::new(PrefixKey::new(u128::from(hash)));
        let best = servers.iter().max_by_key(|s| rendezvous.weight(s));
        best.unwrap_or(&servers[0])
    }

    fn add_incidents(&mut self) {
        let incidents = self.workload.incidents.drain(..);
        let records = incidents.map(|(at, i)| (at, Record::Incident(i)));
        self.trace.records.extend(records);
        let mut poison = self.population.random_request(&mut self.rng, Some(1), None);
        poison.poison = true;
        let times = self.workload.poison_times.drain(..);
        let records = times.map(|at| (at, Record::Request(poison.clone())));
        self.trace.records.extend(records);
    }

    /// Returns random arrival times in milliseconds, with exponentially distributed intervals.
    fn times(&mut self, span: &Range<f64>, rate: f64) -> Vec<u64> {
        let mut at = span.start;
        let mut times = Vec::new();
        loop {
            at -= (1.0 - self.rng.f64()).ln() / rate;
            if at >= span.end {
                return times;
            }
            times.push((at * MILLIS_PER_SECOND) as u64);
        }
    }
}

/// Returns a hash of the shared prefix that a request is routed by.
fn prefix_hash(request: &TraceRequest) -> u64 {
    let prefix = request.levels.iter().take(2);
    let bytes = prefix.flat_map(|l| l.bytes());
    bytes.fold(7, |hash, b| {
        (hash ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Returns the prompt levels that at least one request uses.
fn used_levels(trace: &Trace) -> PromptLevels {
    let requests = trace.records.iter().filter_map(|(_, record)| match record {
        Record::Request(request) => Some(request),
        Record::PeerRequest(peer) => Some(&peer.request),
        Record::Incident(_) => None,
    });
    let mut levels = PromptLevels::new();
    for level in requests.flat_map(|r| &r.levels) {
        levels.insert(level, trace.levels.tokens(level));
    }
    levels
}
