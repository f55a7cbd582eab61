//! The log of accepted configuration versions in the platform's object store.

use coriandercove_base::ConfigVersion;
use coriandercove_config::{Delta, Objects};
use coriandercove_node::config as node_config;
use coriandercove_node::store::http_store;
use coriandercove_platform::StoreError;
use coriandercove_state::config_log::{Change, Edit, LOG_PREFIX};

use super::{ConfigLog, CreateOutcome, LogEntry, LogError, LogFuture};

/// The log in the platform's object store.
pub struct StoreLog {
    /// URL of the store.
    pub url: String,
}

impl ConfigLog for StoreLog {
    fn latest(&self) -> LogFuture<(ConfigVersion, Objects)> {
        let url = self.url.clone();
        Box::pin(async move {
            let latest = node_config::latest(http_store(&url)).await;
            let (version, objects) = latest.map_err(|e| unavailable(&e))?;
            let objects = node_config::decode(&objects)
                .map_err(|message| LogError::Damaged { version, message })?;
            Ok((version, objects))
        })
    }

    fn get(&self, version: ConfigVersion) -> LogFuture<Option<LogEntry>> {
        let url = self.url.clone();
        Box::pin(async move {
            let damaged = |message: String| LogError::Damaged { version, message };
            let object = match http_store(&url).get(&object_name(version)).await {
                Ok(object) => object,
                Err(StoreError::NotFound) => return Ok(None),
                Err(e) => return Err(unavailable(&e)),
            };
            let change: Change =
                serde_json::from_slice(&object.value).map_err(|e| damaged(e.to_string()))?;
            decode_entry(change).map(Some).map_err(damaged)
        })
    }

    fn create(&self, entry: LogEntry) -> LogFuture<CreateOutcome> {
        let url = self.url.clone();
        Box::pin(async move {
            let store = http_store(&url);
            let latest = node_config::latest(http_store(&url)).await;
            let (version, objects) = latest.map_err(|e| unavailable(&e))?;
            if version + 1 != entry.version {
                return Ok(CreateOutcome::Conflict);
            }
            let damaged = |message: String| LogError::Damaged {
                version: entry.version,
                message,
            };
            let write_id = u128::from_str_radix(&entry.write_id, 16)
                .map_err(|e| damaged(format!("write_id: {e}")))?;
            let encode =
                |(key, value): (String, serde_json::Value)| (key, value.to_string().into());
            let edit = Edit {
                upserts: entry.delta.put.into_iter().map(encode).collect(),
                removes: entry.delta.remove,
            };
            let change = Change::new(entry.version, write_id, entry.author, edit, &objects);
            let body = serde_json::to_vec(&change).map_err(|e| damaged(e.to_string()))?;
            match store
                .create(&object_name(change.version), body.into())
                .await
            {
                Ok(_) => Ok(CreateOutcome::Created),
                Err(StoreError::Conflict { .. }) => Ok(CreateOutcome::Conflict),
                Err(e @ StoreError::Unknown { .. }) => Err(LogError::AnswerLost {
                    message: e.to_string(),
                }),
                Err(e) => Err(unavailable(&e)),
            }
        })
    }
}

/// Name of the store object that holds one version.
fn object_name(version: ConfigVersion) -> String {
    format!("{LOG_PREFIX}{version:012}")
}

fn unavailable(e: &StoreError) -> LogError {
    LogError::Unavailable {
        message: e.to_string(),
    }
}

/// Converts a stored change into a log entry, with its objects parsed from JSON texts.
fn decode_entry(change: Change) -> Result<LogEntry, String> {
    let decode = |(key, text): (String, std::sync::Arc<str>)| {
        let value = serde_json::from_str(&text).map_err(|e| format!("{key}: {e}"))?;
        Ok((key, value))
    };
    let put: Result<Objects, String> = change.upserts.into_iter().map(decode).collect();
    Ok(LogEntry {
        version: change.version,
        author: change.author,
        write_id: format!("{:032x}", change.write_id),
        digest: format!("{:032x}", change.digest),
        delta: Delta {
            put: put?,
            remove: change.removes,
        },
    })
}

#[cfg(test)]
mod tests;
