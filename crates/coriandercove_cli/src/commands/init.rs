//! `coriandercove init`.

use std::path::Path;

use coriandercove_config::answers::{CheckedAnswers, TEMPLATE, parse};
use serde_json::json;

use super::{files, settings};
use crate::args::InitArgs;
use crate::commands::interview;
use crate::error::{CliError, Exit};
use crate::output::Output;
use crate::prompt::Prompt;

/// First lines of answers that were asked for at the terminal.
const HEADER: &str =
    "# Answers given to `coriandercove init`. Edit them and run `coriandercove check`.\n";

pub(crate) fn run(args: &InitArgs, out: &mut Output) -> Result<Exit, CliError> {
    // Checked first, so that nobody answers all questions in vain.
    if !args.force && args.dir.join("answers.yaml").exists() {
        let path = args.dir.join("answers.yaml").display().to_string();
        let message = "the file exists; use --force to overwrite it".to_owned();
        return Err(CliError::File { path, message });
    }
    let (name, text) = answers(args, out)?;
    let checked = parse(&name, &text)?;
    let written = write(&args.dir, &text, &checked, args.force)?;
    let text: String = written.iter().map(|f| format!("{f}\n")).collect();
    out.result(&text, &json!({"files": written}));
    out.remark(
        "Next: make a cluster key and an operator token with `coriandercove key secret`, keys for \
         the accounts with `coriandercove key new`, and start the processes with their settings \
         (docs/OPERATIONS.md).\n",
    );
    Ok(Exit::Success)
}

/// The answers and the name of their source for errors.
fn answers(args: &InitArgs, out: &mut Output) -> Result<(String, String), CliError> {
    if let Some(path) = &args.answers {
        return Ok((path.display().to_string(), files::read(path)?));
    }
    if args.example {
        return Ok(("example".to_owned(), TEMPLATE.to_owned()));
    }
    if !out.has_terminal() {
        let message = "standard input is no terminal; use --answers FILE or --example".to_owned();
        return Err(CliError::NoTerminal { message });
    }
    let mut input = std::io::stdin().lock();
    let answers = interview::ask(&mut Prompt::new(&mut input, out))?;
    Ok(("answers".to_owned(), to_yaml(&answers)))
}

pub(crate) fn to_yaml(answers: &coriandercove_config::answers::Answers) -> String {
    // Answers are plain data with text keys, which always has a YAML form.
    let body = serde_norway::to_string(answers).unwrap_or_default();
    format!("{HEADER}{body}")
}

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
