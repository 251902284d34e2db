//! The subcommand that measures the relay path.

use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, anyhow};
use azureway_config::settings::Bounds;
use azureway_core::prelude::TokenRate;
use clap::{ArgMatches, Command};

use super::{Caller, Resident, Timing};
use crate::engine::EngineConfig;
use crate::serve::{Layout, System};

/// The calls one after the other.
const CALLS: usize = 200;
/// The tokens of each.
const TOKENS: u64 = 20;
/// The time between two tokens of the engine.
const INTERVAL: Duration = Duration::from_millis(5);
/// The callers at once.
const CALLERS: usize = 16;
/// The calls of each of them.
const EACH: usize = 100;
/// The streams that are held at once.
const STREAMS: u32 = 500;
/// The tokens of a stream that is held; it ends by itself.
const HELD_TOKENS: u64 = 1_000;
/// The time in which all streams must be under way.
const HOLD_LIMIT: Duration = Duration::from_secs(4);
/// The slots of the engine.
const SLOTS: u32 = 2_000;

/// Returns the subcommand's arguments.
pub fn command() -> Command {
    Command::new("relay").about("Measures the relay path over loopback against direct calls")
}

/// Measures and prints the figures.
///
/// # Errors
///
/// Returns an error if the system does not start or a call fails.
pub fn run(_: &ArgMatches) -> Result<()> {
    let layout = Layout::new().with_zones(&["kranj-a"]).with_engines(1);
    let layout = layout.with_entries(1).with_slots(SLOTS);
    let mut engine = EngineConfig::new()
        .with_slots(SLOTS)
        .with_interval(INTERVAL);
    engine.prefill = TokenRate::new(u64::MAX);
    let mut bounds = Bounds::new();
    bounds.connections = SLOTS as usize;
    let system = System::start(&layout, &engine, &bounds)?;
    system.wait_ready();
    let direct = *system.server_addresses().first().context("no engine")?;
    let entry = *system.addresses().first().context("no entry")?;
    for (name, address) in [("direct", direct), ("through the entry", entry)] {
        measure(&system, name, address)?;
    }
    system.drain();
    Ok(())
}

fn measure(system: &System, name: &str, address: SocketAddr) -> Result<()> {
    let caller = Caller::new(address);
    let timings = (0..CALLS).map(|_| caller.call(TOKENS));
    let timings: Vec<Timing> = timings.collect::<Result<_>>()?;
    let firsts: Vec<Duration> = timings.iter().map(|t| t.first).collect();
    let gaps: Vec<Duration> = timings.into_iter().flat_map(|t| t.gaps).collect();
    println!("{name}");
    report("first token", firsts);
    report("between tokens", gaps);
    println!(
        "  requests a second, {CALLERS} callers: {:.0}",
        rate(caller)?
    );
    hold(system, caller)
}

fn report(name: &str, times: Vec<Duration>) {
    let of = |percent| Timing::percentile(times.clone(), percent).as_micros();
    println!("  {name}, us: p50 {}, p95 {}", of(50), of(95));
}

/// Returns the requests a second of callers that call at once.
fn rate(caller: Caller) -> Result<f64> {
    let start = Instant::now();
    let each = || (0..EACH).try_for_each(|_| caller.call(1).map(drop));
    thread::scope(|scope| {
        let threads: Vec<_> = (0..CALLERS).map(|_| scope.spawn(each)).collect();
        let mut ends = threads.into_iter().map(|t| t.join());
        ends.try_for_each(|end| end.map_err(|_| anyhow!("a caller panicked"))?)
    })?;
    Ok((CALLERS * EACH) as f64 / start.elapsed().as_secs_f64())
}

/// Holds streams open and prints the memory of each, the engine's and the caller's ends
/// included.
fn hold(system: &System, caller: Caller) -> Result<()> {
    let engine = system.engines.first().context("no engine")?;
    engine.wait(HOLD_LIMIT, |s| s.running > 0);
    let before = Resident::now()?;
    let streams = (0..STREAMS).map(|_| caller.open(HELD_TOKENS));
    let streams: Vec<TcpStream> = streams.collect::<Result<_>>()?;
    engine.wait(HOLD_LIMIT, |s| s.running < STREAMS);
    let (held, after) = (engine.running(), Resident::now()?);
    drop(streams);
    engine.wait(HOLD_LIMIT, |s| s.running > 0);
    let grown = after.bytes.saturating_sub(before.bytes);
    let each = grown / u64::from(held.max(1));
    println!("  streams held at once: {held} of {STREAMS}, {each} bytes each");
    Ok(())
}
