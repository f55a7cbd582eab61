//! Addresses, operator token and clients for the operations API of processes.

use std::path::{Path, PathBuf};

use coriandercove_config::Secret;
use coriandercove_config::answers::{Answers, agent_settings, entry_settings};
use coriandercove_config::settings::OPERATOR_TOKEN_ENV;
use coriandercove_operator::OperationsClient;

use super::files;
use crate::args::TokenArgs;
use crate::error::CliError;

/// Whether `text` is the operations address of a process rather than a name or a file.
pub(crate) fn is_url(text: &str) -> bool {
    text.starts_with("http://") || text.parse::<std::net::SocketAddr>().is_ok()
}

/// Returns the base URL for an operations address with or without its scheme.
fn base_url(text: &str) -> String {
    if text.starts_with("http://") {
        text.to_owned()
    } else {
        format!("http://{text}")
    }
}

/// Returns the names and operations URLs of all processes of the answers, entries first.
pub(crate) fn all_processes(answers: &Answers) -> Vec<(String, String)> {
    let entries = entry_settings(answers)
        .into_iter()
        .map(|e| (e.node.to_string(), format!("http://{}", e.operations)));
    let agents = agent_settings(answers)
        .into_iter()
        .map(|a| (a.node.to_string(), format!("http://{}", a.operations)));
    entries.chain(agents).collect()
}

/// Returns the operations URL of a process that is given by address or by its name in the answers.
pub(crate) fn resolve(node: &str, answers: Option<&PathBuf>) -> Result<String, CliError> {
    if is_url(node) {
        return Ok(base_url(node));
    }
    let Some(path) = answers else {
        let message = format!(
            "`{node}` is not an address; use http://IP:PORT, or --answers FILE to find it by name"
        );
        return Err(CliError::Usage { message });
    };
    let answers = files::answers(path)?.answers;
    let nodes = all_processes(&answers);
    let found = nodes.iter().find(|(name, _)| name == node);
    found.map(|(_, url)| url.clone()).ok_or_else(|| {
        let names: Vec<&str> = nodes.iter().take(12).map(|(n, _)| n.as_str()).collect();
        let message = format!(
            "{} has no process `{node}`; its first processes are {}",
            path.display(),
            names.join(", ")
        );
        CliError::Usage { message }
    })
}

/// Reads the operator token from the file of the flag, or else from the environment.
pub(crate) fn token(args: &TokenArgs) -> Result<Secret, CliError> {
    let text = match &args.token_file {
        Some(path) => files::read(Path::new(path))?,
        None => std::env::var(OPERATOR_TOKEN_ENV).map_err(|_| {
            let message =
                format!("no operator token; set {OPERATOR_TOKEN_ENV} or use --token-file");
            CliError::Usage { message }
        })?,
    };
    Secret::new(&text).map_err(|e| CliError::Usage {
        message: format!("the operator token is invalid: {e}"),
    })
}

/// Creates a client for the operations API of one process.
pub(crate) fn client(
    node: &str,
    answers: Option<&PathBuf>,
    args: &TokenArgs,
) -> Result<OperationsClient, CliError> {
    Ok(OperationsClient::new(
        &resolve(node, answers)?,
        token(args)?,
    ))
}
