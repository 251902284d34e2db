//! The parameters of each case, such as request rates, bursts and incidents.

use super::{Burst, Case};
use crate::trace::{Incident, WorkKind};

/// The parameters that a trace is generated from.
#[derive(Clone, Debug)]
pub struct Workload {
    /// The duration of the trace, in seconds.
    pub seconds: f64,
    /// The rate of requests to the replayed entry, in requests per second.
    pub entry_rate: f64,
    /// The rate of requests from other entries to the engines of the first zone, in requests per
    /// second.
    pub zone_rate: f64,
    /// The rate of requests from other entries to the engines of each other zone, in requests per
    /// second.
    pub outside_rate: f64,
    /// The region of each zone.
    pub regions: [&'static str; 3],
    /// The one-way latency to another zone, in microseconds.
    pub link_latency: u64,
    /// The capacity of an engine's prefix cache, in blocks.
    pub cache_blocks: usize,
    /// The number of shops of a large account.
    pub shops: usize,
    /// The bursts in addition to the base load.
    pub bursts: Vec<Burst>,
    /// The incidents with their times in milliseconds.
    pub incidents: Vec<(u64, Incident)>,
    /// The times at which the poison request is sent, in milliseconds.
    pub poison_times: Vec<u64>,
}

impl Workload {
    /// Creates a workload of one minute of base load.
    pub const fn new() -> Self {
        Self {
            seconds: 60.0,
            entry_rate: 4.0,
            zone_rate: 0.8,
            outside_rate: 3.0,
            regions: ["slovenia"; 3],
            link_latency: 1_500,
            cache_blocks: 32,
            shops: 6,
            bursts: Vec::new(),
            incidents: Vec::new(),
            poison_times: Vec::new(),
        }
    }

    /// Returns the workload of a case.
    pub fn for_case(case: Case) -> Self {
        let mut workload = Self::new();
        match case {
            Case::PlainMorning => {}
            Case::SnowReport => workload.bursts = snow_bursts(),
            Case::Eviction => workload = workload.with_cache_pressure(),
            Case::DraftingFlood => workload.bursts = vec![flood(WorkKind::Draft)],
            Case::UrgentFlood => workload.bursts = vec![flood(WorkKind::Advice)],
            Case::LargeAccount => {
                workload.bursts = vec![Burst::new(10.0..50.0, 8.0).with_account(0)]
            }
            Case::Crash => workload.incidents = crashes(),
            Case::Restart => workload.incidents = vec![(30_000, Incident::Restart)],
            Case::Rollout => workload.incidents = rollout(),
            Case::Poison => workload.poison_times = vec![15_000, 25_000, 35_000, 45_000],
            Case::Cut => workload.incidents = cuts(),
            Case::PlatformAway => workload.incidents = platform_away(),
            Case::Regions => workload = workload.with_regions(),
        }
        workload
    }

    fn with_regions(mut self) -> Self {
        self.regions = ["gorenjska", "podravska", "primorska"];
        self.link_latency = 8_000;
        self.bursts = vec![Burst::new(20.0..40.0, 2.0).with_kind(WorkKind::Advice)];
        self
    }

    fn with_cache_pressure(mut self) -> Self {
        self.cache_blocks = 14;
        self.shops = 14;
        self
    }
}

impl Default for Workload {
    fn default() -> Self {
        Self::new()
    }
}

fn snow_bursts() -> Vec<Burst> {
    let report = |span, hot_level| {
        let burst = Burst::new(span, 4.0).with_kind(WorkKind::Advice);
        burst.with_account(0).with_hot_level(hot_level)
    };
    vec![report(10.0..32.0, "snow1"), report(32.0..55.0, "snow2")]
}

fn flood(kind: WorkKind) -> Burst {
    Burst::new(15.0..45.0, 12.0).with_kind(kind)
}

fn crashes() -> Vec<(u64, Incident)> {
    let crash = |server: &str, millis| Incident::Crash(server.to_owned(), millis);
    vec![
        (20_000, crash("kranj-a-engine-1", 10_000)),
        (40_000, crash("kranj-a-engine-2", 5_000)),
        (41_000, crash("kranj-a-engine-3", 5_000)),
    ]
}

/// Loads the new weights at the third engine of each zone, changes the configuration to them
/// and then loads them at the other engines.
fn rollout() -> Vec<(u64, Incident)> {
    let load = |at: u64, zone: &str, number: u64| {
        let server = format!("{zone}-a-engine-{number}");
        (at, Incident::Load(server, 2))
    };
    let zones = ["kranj", "maribor", "koper"];
    let step = |number: u64, from: u64| {
        let times = (from..).step_by(700);
        zones
            .into_iter()
            .zip(times)
            .map(move |(z, at)| load(at, z, number))
    };
    let mut all: Vec<(u64, Incident)> = step(3, 20_000).collect();
    all.push((24_000, Incident::Weights(2)));
    all.extend(step(2, 24_100));
    all.extend(step(1, 26_200));
    all
}

fn cuts() -> Vec<(u64, Incident)> {
    let (maribor, koper) = ("maribor-a".to_owned(), "koper-a".to_owned());
    let crash = Incident::Crash("kranj-a-engine-1".to_owned(), 5_000);
    vec![
        (15_000, Incident::Cut(maribor.clone())),
        (15_000, Incident::Cut(koper.clone())),
        (25_000, crash),
        (45_000, Incident::Heal(maribor)),
        (45_000, Incident::Heal(koper)),
    ]
}

fn platform_away() -> Vec<(u64, Incident)> {
    vec![(0, Incident::PlatformDown), (30_000, Incident::Restart)]
}
