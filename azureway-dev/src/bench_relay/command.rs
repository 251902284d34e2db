//! The subcommand that measures the relay path.

use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::{Duration, Instant};

use anyhow::{Context, Result, anyhow};
use azureway_config::settings::Bounds;
use azureway_core::prelude::TokenRate;
use clap::{ArgMatches, Command};

use super::{Caller, ResidentMemory, Timing};
use crate::engine::EngineConfig;
use crate::serve::{Layout, System};

/// The number of calls made one after the other.
const SERIAL_CALLS: usize = 200;
/// The number of tokens that each of these calls requests.
const CALL_TOKENS: u64 = 20;
/// The time that the engine takes for each output token.
const TOKEN_INTERVAL: Duration = Duration::from_millis(5);
/// The number of concurrent callers.
const CALLERS: usize = 16;
/// The number of calls by each concurrent caller.
const CALLER_CALLS: usize = 100;
/// The number of streams held open at once.
const STREAMS: u32 = 500;
/// The number of tokens of a held stream, which ends by itself after 5 s.
const STREAM_TOKENS: u64 = 1_000;
/// The limit on each wait for the engine. All held streams must start within it, before the first
/// one ends.
const WAIT_TIMEOUT: Duration = Duration::from_secs(4);
/// The number of slots of the engine.
const SLOTS: u32 = 2_000;

/// Returns the subcommand's arguments.
pub fn command() -> Command {
    Command::new("relay").about("Measures the relay path over loopback against direct calls")
}

/// Measures direct calls and calls through an entry instance, and prints the results.
///
/// # Errors
///
/// Returns an error if the system does not start or a call fails.
pub fn run(_: &ArgMatches) -> Result<()> {
    let layout = Layout::new().with_zones(&["kranj-a"]).with_engines(1);
    let layout = layout.with_entries(1).with_slots(SLOTS);
    let mut engine = EngineConfig::new()
        .with_slots(SLOTS)
        .with_token_interval(TOKEN_INTERVAL);
    engine.prefill_rate = TokenRate::new(u64::MAX);
    let mut bounds = Bounds::new();
    bounds.connections = SLOTS as usize;
    let system = System::start(&layout, &engine, &bounds)?;
    system.wait_ready();
    let direct = *system
        .server_addresses()
        .first()
        .context("the system has no engine")?;
    let entry = *system
        .addresses()
        .first()
        .context("the system has no entry")?;
    for (name, address) in [("direct", direct), ("through the entry", entry)] {
        measure(&system, name, address)?;
    }
    system.drain();
    Ok(())
}

fn measure(system: &System, name: &str, address: SocketAddr) -> Result<()> {
    let caller = Caller::new(address);
    let timings = (0..SERIAL_CALLS).map(|_| caller.call(CALL_TOKENS));
    let timings: Vec<Timing> = timings.collect::<Result<_>>()?;
    let first_tokens: Vec<Duration> = timings.iter().map(|t| t.ttft).collect();
    let gaps: Vec<Duration> = timings.into_iter().flat_map(|t| t.gaps).collect();
    println!("{name}");
    report("first token", first_tokens);
    report("between tokens", gaps);
    println!(
        "  requests a second, {CALLERS} callers: {:.0}",
        request_rate(caller)?
    );
    hold_streams(system, caller)
}

fn report(name: &str, times: Vec<Duration>) {
    let percentile = |percent| Timing::percentile(times.clone(), percent).as_micros();
    println!(
        "  {name}, us: p50 {}, p95 {}",
        percentile(50),
        percentile(95)
    );
}

/// Returns the requests per second that concurrent callers complete.
fn request_rate(caller: Caller) -> Result<f64> {
    let start = Instant::now();
    let run_calls = || (0..CALLER_CALLS).try_for_each(|_| caller.call(1).map(drop));
    thread::scope(|scope| {
        let threads: Vec<_> = (0..CALLERS).map(|_| scope.spawn(run_calls)).collect();
        let mut results = threads.into_iter().map(|t| t.join());
        results.try_for_each(|result| result.map_err(|_| anyhow!("a caller panicked"))?)
    })?;
    Ok((CALLERS * CALLER_CALLS) as f64 / start.elapsed().as_secs_f64())
}

/// Holds streams open and prints the memory per stream, including that of the engine and of the
/// caller.
fn hold_streams(system: &System, caller: Caller) -> Result<()> {
    let engine = system.engines.first().context("the system has no engine")?;
    engine.wait_timeout(WAIT_TIMEOUT, |s| s.running > 0);
    let before = ResidentMemory::now()?;
    let streams = (0..STREAMS).map(|_| caller.open(STREAM_TOKENS));
    let streams: Vec<TcpStream> = streams.collect::<Result<_>>()?;
    engine.wait_timeout(WAIT_TIMEOUT, |s| s.running < STREAMS);
    let (held, after) = (engine.running(), ResidentMemory::now()?);
    drop(streams);
    engine.wait_timeout(WAIT_TIMEOUT, |s| s.running > 0);
    let growth = after.bytes.saturating_sub(before.bytes);
    let stream_bytes = growth / u64::from(held.max(1));
    println!("  streams held at once: {held} of {STREAMS}, {stream_bytes} bytes each");
    Ok(())
}
