//! `coriandercove check`.

use coriandercove_config::Problems;
use coriandercove_config::settings::{CLUSTER_KEY_ENV, Loader, OPERATOR_TOKEN_ENV};
use serde_json::json;

use super::files;
use crate::args::CheckArgs;
use crate::error::{CliError, Exit};
use crate::output::Output;

pub(crate) fn run(args: &CheckArgs, out: &mut Output) -> Result<Exit, CliError> {
    let mut problems = Problems::default();
    for path in &args.answers {
        collect(files::answers(path).map(drop), &mut problems)?;
    }
    for path in &args.config {
        collect(files::config(path).map(drop), &mut problems)?;
    }
    for path in &args.entry {
        let loaded = loader().file(path).entry();
        collect(loaded.map(drop).map_err(CliError::from), &mut problems)?;
    }
    for path in &args.agent {
        let loaded = loader().file(path).agent();
        collect(loaded.map(drop).map_err(CliError::from), &mut problems)?;
    }
    problems.or(())?;
    let files = args.answers.len() + args.config.len() + args.entry.len() + args.agent.len();
    let text = format!("{files} valid\n");
    out.result(&text, &json!({"valid": files}));
    Ok(Exit::Success)
}

/// Settings are checked without the secrets of the VM where the process will run.
fn loader() -> Loader {
    let unused = [CLUSTER_KEY_ENV, OPERATOR_TOKEN_ENV].map(|n| (n.to_owned(), "x".repeat(16)));
    Loader::new().env(unused)
}

/// Problems are collected over all files; other errors end the command.
fn collect(result: Result<(), CliError>, problems: &mut Problems) -> Result<(), CliError> {
    match result {
        Err(CliError::Invalid { problems: found }) => {
            problems.0.extend(found.0);
            Ok(())
        }
        other => other,
    }
}
