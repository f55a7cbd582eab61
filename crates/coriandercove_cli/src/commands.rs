//! Implementations of the subcommands.

pub(crate) mod accept;
mod check;
mod diff;
mod drain;
mod explain;
mod files;
mod generate;
mod history;
mod init;
mod interview;
mod key;
mod nodes;
mod settings;
mod status;

use clap::CommandFactory as _;

use crate::args::{Cli, Command};
use crate::error::{CliError, Exit};
use crate::output::Output;

/// Runs a command and writes its result or error to `out`.
pub fn run(cli: Cli, out: &mut Output) -> Exit {
    let result = actix_rt::System::new().block_on(dispatch(cli.command, out));
    result.unwrap_or_else(|e| {
        out.error(&e);
        e.exit()
    })
}

async fn dispatch(command: Command, out: &mut Output) -> Result<Exit, CliError> {
    match command {
        Command::Init(args) => init::run(&args, out),
        Command::Generate(args) => generate::run(&args, out),
        Command::Check(args) => check::run(&args, out),
        Command::Diff(args) => diff::run(&args, out).await,
        Command::Accept(args) => accept::run(&args, out).await,
        Command::History(args) => history::run(&args, out).await,
        Command::Status(args) => status::run(&args, out).await,
        Command::Drain(args) => drain::run(&args, out).await,
        Command::Explain(args) => explain::run(&args, out).await,
        Command::Settings(args) => settings::run(&args, out),
        Command::Key(args) => key::run(&args, out),
        Command::Dev(args) => crate::dev::run(args, out).await,
        Command::Completions { shell } => {
            let mut text = Vec::new();
            clap_complete::generate(shell, &mut Cli::command(), "coriandercove", &mut text);
            out.raw(&String::from_utf8_lossy(&text));
            Ok(Exit::Success)
        }
    }
}
