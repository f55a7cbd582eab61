//! The benchmark program: runs a scenario and prints its figures as one line of JSON.

mod bookings;
mod bound;
mod direct;
mod load;
mod machine;
mod profile;
mod scenario;

use std::io::Write;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use serde_json::json;

use machine::MachineProbe;
use profile::Profile;
use scenario::{BenchError, Context, SCENARIOS, Scenario};

/// Measures coriandercove on this machine, with stand-ins for engines and services.
#[derive(Debug, Parser)]
#[command(name = "coriandercove-bench", version)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// List the scenarios.
    List,
    /// Run a scenario and print its figures as one line of JSON.
    Run(RunArgs),
}

#[derive(Debug, clap::Args)]
struct RunArgs {
    /// Name of the scenario.
    #[arg(value_parser = scenario_by_name)]
    scenario: &'static Scenario,
    /// Seed of the load, the stand-ins and the entries' choices.
    #[arg(long)]
    seed: u64,
    /// Deployment and load; if absent, those for which the scenario's goal is set.
    #[arg(long, value_enum)]
    profile: Option<Profile>,
    /// Seconds of the load that the figures count.
    #[arg(long, default_value_t = 15, value_parser = clap::value_parser!(u64).range(1..=600))]
    duration: u64,
    /// Number of entries, in `control`.
    #[arg(long, default_value_t = 3)]
    nodes: usize,
    /// Number of targets, in `control`.
    #[arg(long, default_value_t = 33)]
    targets: usize,
}

fn scenario_by_name(name: &str) -> Result<&'static Scenario, String> {
    let names = || SCENARIOS.iter().map(|s| s.name).collect::<Vec<_>>();
    let found = SCENARIOS.iter().find(|s| s.name == name);
    found.ok_or_else(|| format!("no such scenario; allowed: {}", names().join(", ")))
}

fn main() -> ExitCode {
    let out = &mut std::io::stdout().lock();
    let result = match Args::parse().command {
        Command::List => list(out).map(|()| true),
        Command::Run(args) => match run(&args) {
            Ok((line, pass)) => writeln!(out, "{line}").map(|()| pass),
            Err(e) => Err(std::io::Error::other(e)),
        },
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(2),
        Err(e) => {
            let _ = writeln!(std::io::stderr(), "error: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Prints name, profile and description of each scenario.
fn list(out: &mut impl Write) -> std::io::Result<()> {
    SCENARIOS.iter().try_for_each(|s| {
        let profile = s.profile.as_str();
        writeln!(out, "{:<20} {profile:<13} {}", s.name, s.about)
    })
}

/// Runs a scenario; returns its figures and whether they reach the goal.
fn run(args: &RunArgs) -> Result<(serde_json::Value, bool), BenchError> {
    let profile = args.profile.unwrap_or(args.scenario.profile);
    let cx = Context {
        profile,
        seed: args.seed,
        duration: Duration::from_secs(args.duration),
        nodes: args.nodes,
        targets: args.targets,
    };
    let probe = MachineProbe::start();
    let outcome = args.scenario.run(&cx)?;
    let line = json!({
        "scenario": args.scenario.name,
        "profile": profile.as_str(),
        "seed": args.seed,
        "figures": outcome.figures,
        "target": outcome.target,
        "pass": outcome.pass,
        "machine": probe.stop(),
    });
    Ok((line, outcome.pass))
}
