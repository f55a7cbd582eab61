//! `coriandercove history`: lists accepted versions.

use coriandercove_base::ConfigVersion;

use super::accept::open_log;
use super::files;
use crate::args::HistoryArgs;
use crate::config_log::{ConfigLog, LogEntry};
use crate::error::{CliError, Exit};
use crate::output::{Output, table};

pub(crate) async fn run(args: &HistoryArgs, out: &mut Output) -> Result<Exit, CliError> {
    let urls = match &args.answers {
        Some(path) => files::answers(path)?.answers.platform.store,
        None => Vec::new(),
    };
    let log = open_log(&args.store, &urls)?;
    let entries = entries(&*log, args.limit).await?;
    let rows: Vec<Vec<String>> = entries.iter().map(row).collect();
    let header = ["VERSION", "AUTHOR", "CHANGED", "REMOVED", "DIGEST"];
    out.result(&table(&header, &rows), &entries);
    Ok(Exit::Success)
}

/// Returns up to `limit` entries, latest first. The list ends early at the first entry that is no
/// longer in the log, because old entries are removed.
pub(crate) async fn entries(log: &dyn ConfigLog, limit: u32) -> Result<Vec<LogEntry>, CliError> {
    let (latest, _) = log.latest().await?;
    let oldest = latest.saturating_sub(ConfigVersion::from(limit));
    let mut out = Vec::new();
    for version in (oldest + 1..=latest).rev() {
        match log.get(version).await? {
            Some(entry) => out.push(entry),
            None => break,
        }
    }
    Ok(out)
}

fn row(e: &LogEntry) -> Vec<String> {
    vec![
        e.version.to_string(),
        e.author.clone(),
        e.delta.put.len().to_string(),
        e.delta.remove.len().to_string(),
        e.digest.chars().take(12).collect(),
    ]
}
