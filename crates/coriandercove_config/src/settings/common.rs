//! Items that the settings of entry and agent share.

use std::path::Path;
use std::time::Duration;

use crate::secret::Secret;

/// Environment variable with the cluster key; used if `cluster_key_file` is not set.
pub const CLUSTER_KEY_ENV: &str = "CORIANDERCOVE_CLUSTER_KEY";
/// Environment variable with the operator token; used if `operator_token_file` is not set.
pub const OPERATOR_TOKEN_ENV: &str = "CORIANDERCOVE_OPERATOR_TOKEN";
/// Default drain deadline: time for work in flight to finish after a stop was requested.
pub const DRAIN_DEADLINE: Duration = Duration::from_secs(30);

pub(super) const fn drain_deadline() -> Duration {
    DRAIN_DEADLINE
}

/// The secrets of a process.
#[derive(Debug, Clone)]
pub struct Secrets {
    /// Shared key with which the processes of a deployment authenticate each other.
    pub cluster_key: Secret,
    /// Bearer token with which operators authenticate at the operations endpoint.
    pub operator_token: Secret,
}

/// Error of a secret that cannot be read or is too short.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SecretError {
    /// Settings key of the secret's file.
    pub(super) key: &'static str,
    pub(super) problem: String,
    pub(super) allowed: String,
}

impl Secrets {
    /// Reads the secrets from files, or from the process environment where no file is set.
    ///
    /// # Errors
    /// A message with the settings key, the problem, which names the file or variable, and what is
    /// allowed.
    pub fn read(cluster_key: Option<&Path>, operator_token: Option<&Path>) -> Result<Self, String> {
        Self::read_with(cluster_key, operator_token, |name| std::env::var(name).ok())
            .map_err(|e| format!("{}: {} (allowed: {})", e[0].key, e[0].problem, e[0].allowed))
    }

    /// Like [`Secrets::read`], with `env` as the environment, and with all errors. An `Err` holds
    /// at least one error.
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
    let allowed_secret = "a secret of at least 16 bytes, from `coriandercove key secret`";
    match file {
        Some(path) => {
            let text = std::fs::read_to_string(path).map_err(|e| {
                let problem = format!("cannot read {}: {e}", path.display());
                error(problem, "a file that the process can read".to_owned())
            })?;
            Secret::new(&text).map_err(|e| {
                error(
                    format!("{}: {e}", path.display()),
                    allowed_secret.to_owned(),
                )
            })
        }
        None => {
            let text = env(variable).ok_or_else(|| {
                let problem = format!("neither `{key}` nor the variable {variable} is set");
                error(problem, format!("one of the two, with {allowed_secret}"))
            })?;
            Secret::new(&text)
                .map_err(|e| error(format!("{variable}: {e}"), allowed_secret.to_owned()))
        }
    }
}
