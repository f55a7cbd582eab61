//! `coriandercove status`: shows the state of processes.

use std::collections::BTreeMap;

use coriandercove_base::ConfigVersion;
use coriandercove_config::Secret;
use coriandercove_operator::{NodeState, NodeStatus, OperationsClient};
use futures_util::StreamExt as _;
use serde::Serialize;

use super::{files, nodes};
use crate::args::StatusArgs;
use crate::error::{CliError, Exit};
use crate::output::{Output, table};

/// Number of processes queried concurrently.
const MAX_CONCURRENT_QUERIES: usize = 32;

/// Result of querying one process; either `status` or `error` is present.
#[derive(Serialize)]
struct Row {
    /// Name or address as the operator or the answers give it.
    node: String,
    url: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<NodeStatus>,
    #[serde(skip_serializing_if = "Option::is_none")]
    error: Option<String>,
}

pub(crate) async fn run(args: &StatusArgs, out: &mut Output) -> Result<Exit, CliError> {
    let processes = select_processes(args)?;
    let token = nodes::token(&args.token)?;
    let queries = processes
        .into_iter()
        .map(|(node, url)| query_status(node, url, token.clone()));
    let rows: Vec<Row> = futures_util::stream::iter(queries)
        .buffered(MAX_CONCURRENT_QUERIES)
        .collect()
        .await;
    out.result(&text(&rows), &rows);
    let failed = rows.iter().any(|r| r.status.is_none());
    Ok(if failed { Exit::Failed } else { Exit::Success })
}

/// Returns the names and operations URLs of the processes to query.
fn select_processes(args: &StatusArgs) -> Result<Vec<(String, String)>, CliError> {
    match (&args.answers, args.nodes.is_empty()) {
        (Some(path), true) => Ok(nodes::all_processes(&files::answers(path)?.answers)),
        (None, true) => {
            let message =
                "no process is given; pass an operations address or use --answers FILE".to_owned();
            Err(CliError::Usage { message })
        }
        (answers, false) => {
            let resolved = args.nodes.iter().map(|n| {
                let url = nodes::resolve(n, answers.as_ref())?;
                Ok((n.clone(), url))
            });
            resolved.collect()
        }
    }
}

async fn query_status(node: String, url: String, token: Secret) -> Row {
    let result = OperationsClient::new(&url, token).status().await;
    let (status, error) = match result {
        Ok(status) => (Some(status), None),
        Err(e) => (None, Some(e.to_string())),
    };
    Row {
        node,
        url,
        status,
        error,
    }
}

/// Formats the table of processes, the number of processes for each version, and the errors.
fn text(rows: &[Row]) -> String {
    let header = [
        "NODE",
        "ROLE",
        "ZONE",
        "STATE",
        "VERSION",
        "DIGEST",
        "IN FLIGHT",
        "STORE",
    ];
    let cells: Vec<Vec<String>> = rows.iter().map(cells).collect();
    let mut versions: BTreeMap<ConfigVersion, usize> = BTreeMap::new();
    for status in rows.iter().filter_map(|r| r.status.as_ref()) {
        *versions.entry(status.config_version).or_default() += 1;
    }
    let mut out = table(&header, &cells);
    for (version, count) in versions.iter().rev() {
        out.push_str(&format!(
            "version {version} in force at {count} of {}\n",
            rows.len()
        ));
    }
    for row in rows {
        if let Some(error) = &row.error {
            out.push_str(&format!("{}: {error}\n", row.node));
        }
    }
    out
}

fn cells(row: &Row) -> Vec<String> {
    let Some(s) = &row.status else {
        return vec![
            row.node.clone(),
            "-".to_owned(),
            "-".to_owned(),
            "unreachable".to_owned(),
        ];
    };
    let state = match s.state {
        NodeState::Starting => "starting",
        NodeState::Ready => "ready",
        NodeState::Leaving => "leaving",
    };
    vec![
        s.node.to_string(),
        s.role.clone(),
        s.zone.to_string(),
        state.to_owned(),
        s.config_version.to_string(),
        s.config_digest.chars().take(12).collect(),
        s.in_flight.to_string(),
        store_state(s).to_owned(),
    ]
}

/// Text of the column `STORE`. It is `-` for agents, which get the configuration from entries and
/// do not call the store.
const fn store_state(s: &NodeStatus) -> &'static str {
    match (s.role.as_bytes(), s.store_reachable) {
        (b"agent", false) => "-",
        (_, true) => "ok",
        (_, false) => "down",
    }
}
