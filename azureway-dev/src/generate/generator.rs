//! The generator of traces.

use std::ops::Range;

use azureway_core::prelude::{PrefixKey, Rendezvous, ServerId};
use fastrand::Rng;

use super::{Burst, Case, Population, Shape};
use crate::trace::{Ask, Header, Levels, Other, Record, Trace};

/// The generator of traces. The same case and seed give the same trace.
#[derive(Debug)]
pub struct Generator {
    shape: Shape,
    population: Population,
    rng: Rng,
    trace: Trace,
}

/// The availability zones.
const ZONES: [&str; 3] = ["kranj-a", "maribor-a", "koper-a"];
/// The engines of a zone.
const ENGINES: usize = 3;
/// The share of the other entries' requests that go elsewhere than their prefix prefers.
const STRAY: f64 = 0.2;
/// The milliseconds of a second.
const MILLIS: f64 = 1_000.0;

impl Generator {
    /// Creates a generator.
    pub fn new(case: Case, seed: u64) -> Self {
        let shape = Shape::of(case);
        let header = Header {
            seed,
            zones: ZONES.map(str::to_owned).to_vec(),
            regions: shape.regions.map(str::to_owned).to_vec(),
            engines: ENGINES,
            accounts: Population::accounts(),
            blocks: shape.blocks,
            link: shape.link,
        };
        Self {
            population: Population::new(&shape),
            rng: Rng::with_seed(seed),
            trace: Trace::new(header),
            shape,
        }
    }

    /// Makes the trace.
    pub fn generate(mut self) -> Trace {
        self.trace.levels = self.population.levels(&mut self.rng);
        let whole = 0.0..self.shape.seconds;
        self.add_wave(&Burst::new(whole.clone(), self.shape.own));
        for wave in self.shape.waves.clone() {
            self.add_wave(&wave);
        }
        self.add_others(whole.clone(), 0, self.shape.home);
        for zone in 1..ZONES.len() {
            self.add_others(whole.clone(), zone, self.shape.away);
        }
        self.add_incidents();
        self.trace.records.sort_by_key(|(at, _)| *at);
        self.trace.levels = used(&self.trace);
        self.trace
    }

    fn add_wave(&mut self, wave: &Burst) {
        for at in self.times(&wave.span, wave.rate) {
            let mut ask = self.draw(wave.account, wave);
            if let (Some(hot), Some(level)) = (wave.hot, ask.levels.get_mut(1)) {
                *level = hot.to_owned();
                ask.levels.truncate(2);
            }
            self.trace.records.push((at, Record::Ask(ask)));
        }
    }

    fn draw(&mut self, account: Option<usize>, wave: &Burst) -> Ask {
        self.population.ask(&mut self.rng, account, wave.kind)
    }

    fn add_others(&mut self, span: Range<f64>, zone: usize, rate: f64) {
        let numbers = 1..=ENGINES;
        let names = numbers.map(|n| Header::engine_name(ZONES[zone], n));
        let servers: Vec<ServerId> = names.map(|n| ServerId::new(&n)).collect();
        for at in self.times(&span, rate) {
            let ask = self.population.ask(&mut self.rng, None, None);
            let server = self.pick(&servers, &ask).as_str().to_owned();
            let record = Record::Other(Other { server, ask });
            self.trace.records.push((at, record));
        }
    }

    /// Picks the engine that an entry which knows nothing but the prefix would take, as a rule.
    fn pick<'a>(&mut self, servers: &'a [ServerId], ask: &Ask) -> &'a ServerId {
        let stray = self.rng.f64() < STRAY;
        let place = if stray {
            self.rng.u64(..)
        } else {
            place_of(ask)
        };
        let order = Rendezvous::new(PrefixKey::new(u128::from(place)));
        let best = servers.iter().max_by_key(|s| order.weight(s));
        best.unwrap_or(&servers[0])
    }

    fn add_incidents(&mut self) {
        let incidents = self.shape.incidents.drain(..);
        let records = incidents.map(|(at, i)| (at, Record::Incident(i)));
        self.trace.records.extend(records);
        let mut poison = self.population.ask(&mut self.rng, Some(1), None);
        poison.poison = true;
        let times = self.shape.poison.drain(..);
        let records = times.map(|at| (at, Record::Ask(poison.clone())));
        self.trace.records.extend(records);
    }

    /// Draws arrival times in milliseconds, with exponential times between them.
    fn times(&mut self, span: &Range<f64>, rate: f64) -> Vec<u64> {
        let mut at = span.start;
        let mut times = Vec::new();
        loop {
            at -= (1.0 - self.rng.f64()).ln() / rate;
            if at >= span.end {
                return times;
            }
            times.push((at * MILLIS) as u64);
        }
    }
}

/// Digests the levels that place a request.
fn place_of(ask: &Ask) -> u64 {
    let placing = ask.levels.iter().take(2);
    let bytes = placing.flat_map(|l| l.bytes());
    bytes.fold(7, |sum, b| {
        (sum ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    })
}

/// Returns the levels that some request names.
fn used(trace: &Trace) -> Levels {
    let asks = trace.records.iter().filter_map(|(_, record)| match record {
        Record::Ask(ask) => Some(ask),
        Record::Other(other) => Some(&other.ask),
        Record::Incident(_) => None,
    });
    let mut levels = Levels::new();
    for level in asks.flat_map(|a| &a.levels) {
        levels.insert(level, trace.levels.tokens(level));
    }
    levels
}
