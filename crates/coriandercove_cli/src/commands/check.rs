//! `coriandercove check`: validates answers, configurations and settings.

use coriandercove_config::Problems;
use coriandercove_config::settings::Loader;
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
    // Secrets are not loaded: they exist only on the VM where the process will run.
    for path in &args.entry {
        let loaded = Loader::new().file(path).entry_without_secrets();
        collect(loaded.map(drop).map_err(CliError::from), &mut problems)?;
    }
    for path in &args.agent {
        let loaded = Loader::new().file(path).agent_without_secrets();
        collect(loaded.map(drop).map_err(CliError::from), &mut problems)?;
    }
    problems.into_result(())?;
    let files = args.answers.len() + args.config.len() + args.entry.len() + args.agent.len();
    let text = format!("{files} valid\n");
    out.result(&text, &json!({"valid": files}));
    Ok(Exit::Success)
}

/// Adds validation problems to `problems`, so that all files are checked. Returns other errors,
/// which end the command.
fn collect(result: Result<(), CliError>, problems: &mut Problems) -> Result<(), CliError> {
    match result {
        Err(CliError::Invalid { problems: found }) => {
            problems.0.extend(found.0);
            Ok(())
        }
        other => other,
    }
}
