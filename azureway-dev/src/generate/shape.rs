//! How much of what a trace holds.

use super::{Burst, Case};
use crate::trace::{Incident, WorkKind};

/// How much of what a trace holds.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The seconds that the trace lasts.
    pub seconds: f64,
    /// The requests a second that this entry gets.
    pub own: f64,
    /// The requests a second that other entries send to the engines of this zone.
    pub home: f64,
    /// The requests a second that other entries send to the engines of another zone.
    pub away: f64,
    /// The regions that the zones stand in.
    pub regions: [&'static str; 3],
    /// The microseconds one way to another zone.
    pub link: u64,
    /// The blocks that an engine's cache holds.
    pub blocks: usize,
    /// The shops of a large account.
    pub shops: usize,
    /// What comes on top.
    pub waves: Vec<Burst>,
    /// What happens, at a time in milliseconds.
    pub incidents: Vec<(u64, Incident)>,
    /// The milliseconds at which a poison request is sent.
    pub poison: Vec<u64>,
}

impl Shape {
    /// Creates the shape of a plain minute.
    pub const fn new() -> Self {
        Self {
            seconds: 60.0,
            own: 4.0,
            home: 0.8,
            away: 3.0,
            regions: ["slovenia"; 3],
            link: 1_500,
            blocks: 32,
            shops: 6,
            waves: Vec::new(),
            incidents: Vec::new(),
            poison: Vec::new(),
        }
    }

    /// Returns the shape of a case.
    pub fn of(case: Case) -> Self {
        let mut shape = Self::new();
        match case {
            Case::PlainMorning => {}
            Case::SnowReport => shape.waves = snow_waves(),
            Case::Eviction => shape = shape.with_pressure(),
            Case::DraftingFlood => shape.waves = vec![flood(WorkKind::Draft)],
            Case::UrgentFlood => shape.waves = vec![flood(WorkKind::Advice)],
            Case::LargeAccount => shape.waves = vec![Burst::new(10.0..50.0, 8.0).with_account(0)],
            Case::Crash => shape.incidents = crashes(),
            Case::Restart => shape.incidents = vec![(30_000, Incident::Restart)],
            Case::Rollout => shape.incidents = rollout(),
            Case::Poison => shape.poison = vec![15_000, 25_000, 35_000, 45_000],
            Case::Cut => shape.incidents = cuts(),
            Case::PlatformAway => shape.incidents = platform_away(),
            Case::Regions => shape = shape.with_regions(),
        }
        shape
    }

    fn with_regions(mut self) -> Self {
        self.regions = ["gorenjska", "podravska", "primorska"];
        self.link = 8_000;
        self.waves = vec![Burst::new(20.0..40.0, 2.0).with_kind(WorkKind::Advice)];
        self
    }

    fn with_pressure(mut self) -> Self {
        self.blocks = 14;
        self.shops = 14;
        self
    }
}

impl Default for Shape {
    fn default() -> Self {
        Self::new()
    }
}

fn snow_waves() -> Vec<Burst> {
    let report = |span, hot| {
        let wave = Burst::new(span, 4.0).with_kind(WorkKind::Advice);
        wave.with_account(0).with_hot(hot)
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

/// Loads the third engine of each zone, turns to the new weights and loads the others.
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
