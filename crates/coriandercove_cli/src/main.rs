//! The operators' command line.

mod dev;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

#[derive(Parser)]
#[command(name = "coriandercove", version, about)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs a whole deployment with stand-ins in this process, on loopback.
    Dev(dev::DevArgs),
}

fn main() -> ExitCode {
    let Cli {
        command: Command::Dev(args),
    } = Cli::parse();
    match dev::run(&args, &mut std::io::stdout()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            use std::io::Write as _;
            let _ = writeln!(std::io::stderr(), "error: {e}");
            ExitCode::FAILURE
        }
    }
}
