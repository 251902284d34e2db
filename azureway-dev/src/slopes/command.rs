//! The subcommand that measures and prints the slopes.

use clap::{ArgMatches, Command};

use super::{
    AccountProbe, BlockProbe, CacheEventProbe, DemandProbe, DocumentProbe, HeartbeatProbe,
    InFlightProbe, LookupProbe, MembershipProbe, Probe, QueueProbe, ServerProbe, Slope,
};

/// The number of nanoseconds in a microsecond.
const MICROSECOND: f64 = 1_000.0;

/// Returns the subcommand's arguments.
pub fn command() -> Command {
    Command::new("slopes")
        .about("Prints a table of how memory, message sizes and operation times grow with the load")
}

/// Runs every probe and prints a table with one row for each.
pub fn run(_: &ArgMatches) {
    println!(
        "| by | sizes | memory B a unit | message B at the smallest, a unit | operation | time, us, at each size |"
    );
    println!("|---|---|---:|---:|---|---|");
    print::<ServerProbe>();
    print::<AccountProbe>();
    print::<QueueProbe>();
    print::<InFlightProbe>();
    print::<BlockProbe>();
    print::<LookupProbe>();
    print::<CacheEventProbe>();
    print::<DemandProbe>();
    print::<MembershipProbe>();
    print::<HeartbeatProbe>();
    print::<DocumentProbe>();
}

fn print<P: Probe>() {
    let samples = P::measure_all();
    let slope = Slope::new(&samples);
    let sizes = P::SIZES.map(|s| s.to_string()).join(", ");
    let times = samples
        .map(|s| format!("{:.2}", s.time / MICROSECOND))
        .join(", ");
    println!(
        "| {} | {sizes} | {:.0} | {}, {:.0} | {} | {times} |",
        P::UNIT,
        slope.memory,
        samples[0].message,
        slope.message,
        P::OPERATION,
    );
}
