//! `coriandercove diff`.

use std::path::Path;

use coriandercove_config::Objects;
use coriandercove_config::diff::{Difference, diff};

use super::{files, nodes};
use crate::args::{DiffArgs, TokenArgs};
use crate::error::{CliError, Exit};
use crate::output::Output;

pub(crate) async fn run(args: &DiffArgs, out: &mut Output) -> Result<Exit, CliError> {
    let old = side(&args.old, &args.token).await?;
    let new = side(&args.new, &args.token).await?;
    let differences = diff(&old, &new);
    out.result(&lines(&differences), &differences);
    Ok(if args.exit_code && !differences.is_empty() {
        Exit::Different
    } else {
        Exit::Success
    })
}

async fn side(text: &str, token: &TokenArgs) -> Result<Objects, CliError> {
    if nodes::is_url(text) {
        return Ok(nodes::client(text, None, token)?.config().await?.objects);
    }
    let path = Path::new(text);
    if path.extension().is_some_and(|e| e == "json") {
        return files::config(path);
    }
    Ok(files::answers(path)?.config.to_objects())
}

/// One line for each difference.
pub(crate) fn lines(differences: &[Difference]) -> String {
    differences.iter().map(|d| format!("{d}\n")).collect()
}
