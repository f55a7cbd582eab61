//! `coriandercove diff`: compares two configurations.

use std::path::Path;

use coriandercove_config::Objects;
use coriandercove_config::diff::{Difference, diff};

use super::{files, nodes};
use crate::args::{DiffArgs, TokenArgs};
use crate::error::{CliError, Exit};
use crate::output::Output;

pub(crate) async fn run(args: &DiffArgs, out: &mut Output) -> Result<Exit, CliError> {
    let old = load_side(&args.old, &args.token).await?;
    let new = load_side(&args.new, &args.token).await?;
    let differences = diff(&old, &new);
    out.result(&format_differences(&differences), &differences);
    Ok(if args.exit_code && !differences.is_empty() {
        Exit::Different
    } else {
        Exit::Success
    })
}

/// Loads the objects of one side: from a process if `text` is an operations address, from a
/// configuration file if it ends in `.json`, and from a file with answers otherwise.
async fn load_side(text: &str, token: &TokenArgs) -> Result<Objects, CliError> {
    if nodes::is_url(text) {
        return Ok(nodes::client(text, None, token)?.config().await?.objects);
    }
    let path = Path::new(text);
    if path.extension().is_some_and(|e| e == "json") {
        return files::config(path);
    }
    Ok(files::answers(path)?.config.to_objects())
}

/// Formats each difference as one line.
pub(crate) fn format_differences(differences: &[Difference]) -> String {
    differences.iter().map(|d| format!("{d}\n")).collect()
}
