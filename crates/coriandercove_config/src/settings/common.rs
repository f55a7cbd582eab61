//! Parts that the settings of entry and agent share.

use std::path::{Path, PathBuf};

use crate::secret::Secret;

/// Environment variable with the cluster key; used if no file is set.
pub const CLUSTER_KEY_ENV: &str = "CORIANDERCOVE_CLUSTER_KEY";
/// Environment variable with the operator token; used if no file is set.
pub const OPERATOR_TOKEN_ENV: &str = "CORIANDERCOVE_OPERATOR_TOKEN";

/// The secrets of a process.
#[derive(Debug, Clone)]
pub struct Secrets {
    /// Authenticates the processes of one deployment to each other.
    pub cluster_key: Secret,
    /// Authenticates operators to the operations endpoint.
    pub operator_token: Secret,
}

impl Secrets {
    /// Reads the secrets from files, or from the environment where no file is set.
    ///
    /// # Errors
    /// A text that names the file or variable, the problem and the remedy.
    pub fn read(cluster_key: Option<&Path>, operator_token: Option<&Path>) -> Result<Self, String> {
        Ok(Self {
            cluster_key: read_secret("cluster_key_file", cluster_key, CLUSTER_KEY_ENV)?,
            operator_token: read_secret("operator_token_file", operator_token, OPERATOR_TOKEN_ENV)?,
        })
    }
}

fn read_secret(key: &str, file: Option<&Path>, variable: &str) -> Result<Secret, String> {
    match file {
        Some(path) => {
            let text = std::fs::read_to_string(path)
                .map_err(|e| format!("{}: cannot read the file of `{key}`: {e}", path.display()))?;
            Secret::new(&text).map_err(|e| format!("{}: {e}", path.display()))
        }
        None => {
            let text = std::env::var(variable).map_err(|_| {
                format!("`{key}` is not set and {variable} is not set; set one of them")
            })?;
            Secret::new(&text).map_err(|e| format!("{variable}: {e}"))
        }
    }
}

/// The path as an option of a borrowed path.
pub(super) fn as_path(path: &Option<PathBuf>) -> Option<&Path> {
    path.as_deref()
}
