//! `coriandercove init`: creates answers, configuration and settings for a new team.

use std::path::Path;

use coriandercove_config::answers::{CheckedAnswers, TEMPLATE, parse};
use serde_json::json;

use super::{files, settings};
use crate::args::InitArgs;
use crate::commands::interview;
use crate::error::{CliError, Exit};
use crate::output::Output;
use crate::prompt::Prompt;

/// Header of an answers file that was written from interactive answers.
const HEADER: &str =
    "# Answers given to `coriandercove init`. Edit them and run `coriandercove check`.\n";

pub(crate) fn run(args: &InitArgs, out: &mut Output) -> Result<Exit, CliError> {
    // Checked before any question is asked, so that answers are not lost to an existing file.
    if !args.force && args.dir.join("answers.yaml").exists() {
        let path = args.dir.join("answers.yaml").display().to_string();
        let message = "the file exists; use --force to overwrite it".to_owned();
        return Err(CliError::File { path, message });
    }
    let (name, text) = load_answers(args, out)?;
    let checked = parse(&name, &text)?;
    let written = write(&args.dir, &text, &checked, args.force)?;
    let text: String = written.iter().map(|f| format!("{f}\n")).collect();
    out.result(&text, &json!({"files": written}));
    out.notice(
        "Next: generate a cluster key and an operator token with `coriandercove key secret`, keys \
         for the accounts with `coriandercove key new`, and start the processes with their settings \
         (docs/OPERATIONS.md).\n",
    );
    Ok(Exit::Success)
}

/// Returns the source of the answers, to be named in errors, and their text.
fn load_answers(args: &InitArgs, out: &mut Output) -> Result<(String, String), CliError> {
    if let Some(path) = &args.answers {
        return Ok((path.display().to_string(), files::read(path)?));
    }
    if args.example {
        return Ok(("example".to_owned(), TEMPLATE.to_owned()));
    }
    if !out.has_terminal() {
        let message =
            "standard input is not a terminal; use --answers FILE or --example".to_owned();
        return Err(CliError::NoTerminal { message });
    }
    let mut input = std::io::stdin().lock();
    let answers = interview::ask(&mut Prompt::new(&mut input, out))?;
    Ok(("answers".to_owned(), to_yaml(&answers)))
}

/// Formats answers as YAML with a header comment.
pub(crate) fn to_yaml(answers: &coriandercove_config::answers::Answers) -> String {
    // Answers are plain data with text keys, so their conversion to YAML does not fail.
    let body = serde_norway::to_string(answers).unwrap_or_default();
    format!("{HEADER}{body}")
}

/// Writes answers, configuration and settings below `dir` and returns the paths of the files.
fn write(
    dir: &Path,
    text: &str,
    checked: &CheckedAnswers,
    force: bool,
) -> Result<Vec<String>, CliError> {
    let answers = dir.join("answers.yaml");
    files::write(&answers, text, force)?;
    let config = dir.join("configuration.json");
    files::write(&config, &checked.config.to_objects().to_json(), force)?;
    let mut written = vec![answers.display().to_string(), config.display().to_string()];
    let mut processes = settings::entries(&checked.answers);
    processes.extend(settings::agents(&checked.answers));
    written.extend(settings::write(&dir.join("settings"), &processes, force)?);
    Ok(written)
}
