//! The developers' program: runs a system on loopback, replays traces and measures.

use anyhow::{Context, Result};
use azureway_config::settings::Bounds;
use azureway_dev::engine::EngineConfig;
use azureway_dev::serve::{Layout, System};
use azureway_dev::{bench_relay, generate, replay, slopes};
use clap::Command;
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

fn main() -> Result<()> {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    match command().get_matches().subcommand() {
        Some(("serve", _)) => serve(),
        Some(("generate", matches)) => generate::run(matches),
        Some(("rounds", matches)) => replay::rounds::run(matches),
        Some(("slopes", matches)) => {
            slopes::run(matches);
            Ok(())
        }
        Some(("relay", matches)) => bench_relay::run(matches),
        Some(("replay", matches)) => exit_with(replay::run(matches)?),
        _ => Ok(()),
    }
}

/// Ends the program with status 0 on success and 1 otherwise.
fn exit_with(success: bool) -> ! {
    std::process::exit(i32::from(!success))
}

fn command() -> Command {
    Command::new("azureway-dev")
        .about("Simulated services, replay and measurements for developers of azureway")
        .subcommand_required(true)
        .subcommand(generate::command())
        .subcommand(bench_relay::command())
        .subcommand(replay::command())
        .subcommand(replay::rounds::command())
        .subcommand(slopes::command())
        .subcommand(Command::new("serve").about("Runs a whole system on loopback until Ctrl-C"))
}

fn serve() -> Result<()> {
    let mut signals = Signals::new([SIGINT, SIGTERM]).context("wait for signals")?;
    let layout = Layout::new();
    let system = System::start(&layout, &EngineConfig::new(), &Bounds::new())?;
    print_system(&layout, &system);
    signals.forever().next();
    println!("draining");
    system.drain();
    println!("drained");
    Ok(())
}

/// Prints the addresses of the system and commands to try it with.
fn print_system(layout: &Layout, system: &System) {
    println!("platform  {}", system.platform_address());
    let zones = layout
        .zones
        .iter()
        .flat_map(|z| std::iter::repeat_n(z, layout.entries));
    let addresses = system.addresses().into_iter().zip(system.admin_addresses());
    for (zone, (address, admin)) in zones.zip(addresses) {
        println!("entry     {address}  {zone}  operators {admin}");
    }
    println!("\nexport AZUREWAY_PLATFORM={}", system.platform_address());
    if let Some(admin) = system.admin_addresses().first() {
        println!("export AZUREWAY_ENTRY={admin}");
    }
    let (Some(address), Some((_, key))) =
        (system.addresses().first().copied(), layout.accounts.first())
    else {
        return;
    };
    println!(
        "\ncurl -N http://{address}/v1/chat/completions -H 'Authorization: Bearer {key}' \\\n  \
         -H 'Azureway-Rank: urgent' -d '{{\"model\":\"advice\",\"stream\":true,\
         \"messages\":[{{\"role\":\"system\",\"content\":\"House rules\"}},\
         {{\"role\":\"user\",\"content\":\"Which wax tomorrow?\"}}]}}'\n"
    );
    println!("Ctrl-C drains and ends.");
}
