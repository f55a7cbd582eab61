//! Runs one stand-in as a process until SIGINT or SIGTERM.

mod args;

use std::io::Write;
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use coriandercove_base::telemetry::{self, LogFormat};
use coriandercove_standin::{engine, service, store, vm_list};
use slog::error;
use tokio::signal::unix::{SignalKind, signal};

use crate::args::{Args, Command};

/// Time that the calls in flight have to finish after the signal.
const STOP_GRACE: Duration = Duration::from_secs(5);

/// Stops the stand-in and waits for its thread.
type Stop = Box<dyn FnOnce()>;

fn main() -> ExitCode {
    let args = Args::parse();
    let log = telemetry::logger(LogFormat::Text);
    match run(args.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            error!(log, "cannot run"; "error" => e);
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), String> {
    let (addr, stop) = start(command)?;
    let runtime = actix_rt::Runtime::new().map_err(|e| e.to_string())?;
    runtime
        .block_on(async {
            let mut term = signal(SignalKind::terminate())?;
            let mut int = signal(SignalKind::interrupt())?;
            print_address(addr)?;
            tokio::select! {
                _ = term.recv() => {}
                _ = int.recv() => {}
            }
            Ok(())
        })
        .map_err(|e: std::io::Error| e.to_string())?;
    stop();
    Ok(())
}

/// Prints the listening address on standard output, where the process that started this one reads
/// it.
fn print_address(addr: SocketAddr) -> std::io::Result<()> {
    let mut out = std::io::stdout().lock();
    writeln!(out, "{addr}")?;
    out.flush()
}

fn start(command: Command) -> Result<(SocketAddr, Stop), String> {
    let failed = |e: std::io::Error| e.to_string();
    match command {
        Command::Store(args) => {
            let handle = store::start(args.settings()).map_err(failed)?;
            Ok((handle.addr(), Box::new(|| handle.stop(STOP_GRACE))))
        }
        Command::VmList(args) => {
            let handle = vm_list::start(args.settings()?).map_err(failed)?;
            Ok((handle.addr(), Box::new(|| handle.stop(STOP_GRACE))))
        }
        Command::Engine(args) => {
            let handle = engine::start(args.settings()?).map_err(failed)?;
            Ok((handle.addr(), Box::new(|| handle.stop(STOP_GRACE))))
        }
        Command::Service(args) => {
            let handle = service::start(args.settings()).map_err(failed)?;
            Ok((handle.addr(), Box::new(|| handle.stop(STOP_GRACE))))
        }
    }
}
