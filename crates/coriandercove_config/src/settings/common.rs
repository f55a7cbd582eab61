//! Parts that the settings of entry and agent share.

use std::path::Path;
use std::time::Duration;

use crate::secret::Secret;

/// Environment variable with the cluster key; used if no file is set.
pub const CLUSTER_KEY_ENV: &str = "CORIANDERCOVE_CLUSTER_KEY";
/// Environment variable with the operator token; used if no file is set.
pub const OPERATOR_TOKEN_ENV: &str = "CORIANDERCOVE_OPERATOR_TOKEN";
/// Default time that work in flight gets to end after a process was told to stop.
pub const DRAIN_DEADLINE: Duration = Duration::from_secs(30);

pub(super) const fn drain_deadline() -> Duration {
    DRAIN_DEADLINE
}

/// The secrets of a process.
#[derive(Debug, Clone)]
pub struct Secrets {
    /// Authenticates the processes of one deployment to each other.
    pub cluster_key: Secret,
    /// Authenticates operators to the operations endpoint.
    pub operator_token: Secret,
}

/// Why a secret cannot be read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SecretError {
    /// Key of the settings that names the file.
    pub(super) key: &'static str,
    pub(super) problem: String,
    pub(super) allowed: String,
}

impl Secrets {
    /// Reads the secrets from files, or from the process environment where no file is set.
    ///
    /// # Errors
    /// A text that names the file or variable, the problem and the remedy.
    pub fn read(cluster_key: Option<&Path>, operator_token: Option<&Path>) -> Result<Self, String> {
        Self::read_with(cluster_key, operator_token, |name| std::env::var(name).ok())
            .map_err(|e| format!("{}: {} (allowed: {})", e[0].key, e[0].problem, e[0].allowed))
    }

    /// Like [`Secrets::read`], with another environment and every error. There is at least one error.
    pub(super) fn read_with(
        cluster_key: Option<&Path>,
        operator_token: Option<&Path>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, Vec<SecretError>> {
        let cluster = read_secret("cluster_key_file", cluster_key, CLUSTER_KEY_ENV, &env);
        let operator = read_secret(
            "operator_token_file",
            operator_token,
            OPERATOR_TOKEN_ENV,
            &env,
        );
        match (cluster, operator) {
            (Ok(cluster_key), Ok(operator_token)) => Ok(Self {
                cluster_key,
                operator_token,
            }),
            (a, b) => Err([a.err(), b.err()].into_iter().flatten().collect()),
        }
    }
}

fn read_secret(
    key: &'static str,
    file: Option<&Path>,
    variable: &str,
    env: impl Fn(&str) -> Option<String>,
) -> Result<Secret, SecretError> {
    let error = |problem: String, allowed: String| SecretError {
        key,
        problem,
        allowed,
    };
    let remedy = "a secret of at least 16 bytes, from `coriandercove key secret`";
    match file {
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|e| {
                let problem = format!("cannot read {}: {e}", path.display());
                error(problem, "a file that the process can read".to_owned())
            })?;
            Secret::new(&text)
                .map_err(|e| error(format!("{}: {e}", path.display()), remedy.to_owned()))
        }
        None => {
            let text = env(variable).ok_or_else(|| {
                let problem = format!("neither `{key}` nor the variable {variable} is set");
                error(problem, format!("one of the two, with {remedy}"))
            })?;
            Secret::new(&text).map_err(|e| error(format!("{variable}: {e}"), remedy.to_owned()))
        }
    }
}
