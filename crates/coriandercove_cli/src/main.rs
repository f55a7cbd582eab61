//! Entry point of the `coriandercove` program.

use std::io::IsTerminal as _;

use clap::Parser as _;
use coriandercove_cli::args::Cli;
use coriandercove_cli::output::Output;

fn main() -> std::process::ExitCode {
    let cli = Cli::parse();
    let mut out = Output::standard(cli.output, std::io::stdin().is_terminal());
    let exit = coriandercove_cli::run(cli, &mut out);
    exit.code()
}
