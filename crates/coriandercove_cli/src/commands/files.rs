//! Reading, validating and writing of files.

use std::path::Path;

use coriandercove_config::answers::{self, CheckedAnswers};
use coriandercove_config::{Config, Objects, Problem, Problems};

use crate::error::CliError;

fn file_error(path: &Path, message: String) -> CliError {
    CliError::File {
        path: path.display().to_string(),
        message,
    }
}

/// Reads a text file.
pub(crate) fn read(path: &Path) -> Result<String, CliError> {
    std::fs::read_to_string(path)
        .map_err(|e| file_error(path, format!("cannot read the file: {e}")))
}

/// Writes a file and creates its missing parent directories. Fails if the file exists, unless
/// `force` is set.
pub(crate) fn write(path: &Path, text: &str, force: bool) -> Result<(), CliError> {
    if path.exists() && !force {
        let message = "the file exists; use --force to overwrite it".to_owned();
        return Err(file_error(path, message));
    }
    if let Some(parent) = path.parent() {
        std::fs::create_dir_all(parent)
            .map_err(|e| file_error(parent, format!("cannot create the directory: {e}")))?;
    }
    std::fs::write(path, text).map_err(|e| file_error(path, format!("cannot write the file: {e}")))
}

/// Reads and validates a file with answers.
pub(crate) fn answers(path: &Path) -> Result<CheckedAnswers, CliError> {
    Ok(answers::parse(&path.display().to_string(), &read(path)?)?)
}

/// Reads and validates a file with a configuration.
pub(crate) fn config(path: &Path) -> Result<Objects, CliError> {
    let file = path.display().to_string();
    let objects: Objects = serde_json::from_str(&read(path)?).map_err(|e| {
        CliError::from(Problems(vec![Problem {
            file: file.clone(),
            line: e.line(),
            key: String::new(),
            problem: format!("invalid JSON: {e}"),
            allowed: "a configuration as `coriandercove generate` writes it".to_owned(),
        }]))
    })?;
    let checked = Config::from_objects(&objects).and_then(|config| config.check());
    checked.map_err(|mut problems| {
        problems.0.iter_mut().for_each(|p| p.file.clone_from(&file));
        CliError::from(problems)
    })?;
    Ok(objects)
}
