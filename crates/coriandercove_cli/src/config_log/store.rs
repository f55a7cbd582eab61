//! The log of accepted configurations in the platform's store.

use coriandercove_base::ConfigVersion;
use coriandercove_config::{Delta, Objects};
use coriandercove_node::config as node_config;
use coriandercove_node::store::http_store;
use coriandercove_platform::StoreError;
use coriandercove_state::config_log::{Change, Edit, LOG_PREFIX};

use super::{ConfigLog, Created, LogEntry, LogError, LogFuture};

/// The log in the store at `url`.
pub struct StoreLog {
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
            let object = match http_store(&url).get(&name(version)).await {
                Ok(object) => object,
                Err(StoreError::NotFound) => return Ok(None),
                Err(e) => return Err(unavailable(&e)),
            };
            let change: Change =
                serde_json::from_slice(&object.value).map_err(|e| damaged(e.to_string()))?;
            entry(change).map(Some).map_err(damaged)
        })
    }

    fn create(&self, entry: LogEntry) -> LogFuture<Created> {
        let url = self.url.clone();
        Box::pin(async move {
            let store = http_store(&url);
            let latest = node_config::latest(http_store(&url)).await;
            let (version, objects) = latest.map_err(|e| unavailable(&e))?;
            if version + 1 != entry.version {
                return Ok(Created::Exists);
            }
            let damaged = |message: String| LogError::Damaged {
                version: entry.version,
                message,
            };
            let write_id = u128::from_str_radix(&entry.write_id, 16)
                .map_err(|e| damaged(format!("write_id: {e}")))?;
            let text = |(key, value): (String, serde_json::Value)| (key, value.to_string().into());
            let edit = Edit {
                upserts: entry.delta.put.into_iter().map(text).collect(),
                removes: entry.delta.remove,
            };
            let change = Change::new(entry.version, write_id, entry.author, edit, &objects);
            let body = serde_json::to_vec(&change).map_err(|e| damaged(e.to_string()))?;
            match store.create(&name(change.version), body.into()).await {
                Ok(_) => Ok(Created::Accepted),
                Err(StoreError::Conflict { .. }) => Ok(Created::Exists),
                Err(e @ StoreError::Unknown { .. }) => Err(LogError::AnswerLost {
                    message: e.to_string(),
                }),
                Err(e) => Err(unavailable(&e)),
            }
        })
    }
}

fn name(version: ConfigVersion) -> String {
    format!("{LOG_PREFIX}{version:012}")
}

fn unavailable(e: &StoreError) -> LogError {
    LogError::Unavailable {
        message: e.to_string(),
    }
}

fn entry(change: Change) -> Result<LogEntry, String> {
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
