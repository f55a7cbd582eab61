//! Settings of an entry, and those that a running process applies on a reload.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use snafu::{ResultExt, Snafu, ensure};

use coriandercove_base::telemetry::lines::LineLimits;
use coriandercove_base::{NodeId, ZoneId};

use crate::contention::ContentionMode;

/// Default of `apply_ms` and `drain_ms`, in ms, as the users' sites require it.
const DEFAULT_BOUND_MS: f64 = 2000.0;

/// Settings of an entry, read from a YAML file.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this entry, unique in the deployment.
    pub node: NodeId,
    /// Availability zone of this entry.
    pub zone: ZoneId,
    /// Address at which callers connect.
    pub callers: SocketAddr,
    /// Address of the load balancer's readiness check.
    pub readiness: SocketAddr,
    /// Address of the platform's object store.
    pub store: SocketAddr,
    /// Address to which the other entries send datagrams.
    pub peers: SocketAddr,
    /// Addresses of some other entries. The port of `peers` is used for all of them.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address at which metrics are served; none if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Time between SIGTERM and SIGKILL at a stop, in seconds.
    pub grace_seconds: f64,
    /// Number of file descriptors that the process may open; limits the connections of callers.
    pub max_descriptors: usize,
    /// Memory available to the process, in MB.
    pub memory_mb: usize,
    /// Repeated attempts that all entries may send within the window, for each request of callers.
    pub retry_ratio: f64,
    /// Repeated attempts that all entries may send within the window in addition.
    pub retry_slack: f64,
    /// Length of the retry budget's window, in seconds.
    pub retry_window_seconds: f64,
    /// Time in which a new configuration must be in force, in ms; 2,000 if absent.
    #[serde(default)]
    pub apply_ms: Option<f64>,
    /// Time after which a draining target must get no more work, in ms; 2,000 if absent.
    #[serde(default)]
    pub drain_ms: Option<f64>,
    /// Whether the parts for contended services are in force; by the configuration if absent.
    #[serde(default)]
    pub contention: ContentionMode,
    /// Limits on the log lines written per second.
    #[serde(default)]
    pub log: LineLimits,
}

/// Why settings cannot be used.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// Name of the settings file.
        path: String,
        /// Cause.
        source: std::io::Error,
    },
    /// The file is not valid YAML or does not have the expected keys and types.
    #[snafu(display("{path}: {source}"))]
    Parse {
        /// Name of the settings file.
        path: String,
        /// Cause, with line and key.
        source: serde_norway::Error,
    },
    /// A value is out of its range.
    #[snafu(display("{path}: {key} is {value}; allowed: {allowed}"))]
    Range {
        /// Name of the settings file.
        path: String,
        /// Key of the value.
        key: &'static str,
        /// Value found.
        value: String,
        /// Allowed range.
        allowed: &'static str,
    },
}

/// Settings that a running process applies on a reload; the others take effect at the next start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LiveSettings {
    /// Repeated attempts of all entries for each request of callers.
    pub retry_ratio: f64,
    /// Repeated attempts of all entries within the window in addition.
    pub retry_slack: f64,
    /// Length of the retry budget's window.
    pub retry_window: Duration,
    /// Time between SIGTERM and SIGKILL at a stop.
    pub grace: Duration,
    /// Time in which a new configuration must be in force.
    pub apply: Duration,
    /// Time after which a draining target must get no more work.
    pub drain: Duration,
    /// Whether the parts for contended services are in force.
    pub contention: ContentionMode,
    /// Limits on the log lines written per second.
    pub log: LineLimits,
}

/// Keys of the settings file that [`LiveSettings`] holds.
const LIVE_KEYS: [&str; 8] = [
    "retry_ratio",
    "retry_slack",
    "retry_window_seconds",
    "grace_seconds",
    "apply_ms",
    "drain_ms",
    "contention",
    "log",
];

/// Keys whose values differ between two versions of a settings file.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Changed keys that a running process applies.
    pub live: Vec<String>,
    /// Changed keys that take effect at the next start.
    pub at_next_start: Vec<String>,
}

impl Settings {
    /// The settings that a running process applies on a reload.
    #[must_use]
    pub fn live(&self) -> LiveSettings {
        LiveSettings {
            retry_ratio: self.retry_ratio,
            retry_slack: self.retry_slack,
            retry_window: seconds(self.retry_window_seconds),
            grace: seconds(self.grace_seconds),
            apply: seconds(self.apply_ms.unwrap_or(DEFAULT_BOUND_MS) / 1e3),
            drain: seconds(self.drain_ms.unwrap_or(DEFAULT_BOUND_MS) / 1e3),
            contention: self.contention,
            log: self.log,
        }
    }

    /// Compares these settings with a newer version of the same file.
    ///
    /// # Errors
    /// One of the versions cannot be serialized as YAML.
    pub fn changes(&self, newer: &Self) -> Result<Changes, serde_norway::Error> {
        let (old, new) = (
            serde_norway::to_value(self)?,
            serde_norway::to_value(newer)?,
        );
        let mut changes = Changes::default();
        for (key, value) in new.as_mapping().into_iter().flatten() {
            let name = key.as_str().unwrap_or_default();
            if old.get(name) == Some(value) {
                continue;
            }
            if LIVE_KEYS.contains(&name) {
                changes.live.push(name.to_owned());
            } else {
                changes.at_next_start.push(name.to_owned());
            }
        }
        Ok(changes)
    }

    /// Reads and validates a settings file.
    ///
    /// # Errors
    /// [`SettingsError`] names the file and the cause: the I/O error, the line and key, or the
    /// allowed range.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).context(ReadSnafu { path: &name })?;
        Self::parse(&text, &name)
    }

    /// Parses and validates settings; errors name `path` as the file.
    ///
    /// # Errors
    /// As for [`Settings::read`], without I/O errors.
    pub fn parse(text: &str, path: &str) -> Result<Self, SettingsError> {
        let settings: Self = serde_norway::from_str(text).context(ParseSnafu { path })?;
        settings.check(path)?;
        Ok(settings)
    }

    fn check(&self, path: &str) -> Result<(), SettingsError> {
        let ranges = [
            ("grace_seconds", self.grace_seconds, 0.5, "0.5 or more"),
            (
                "apply_ms",
                self.apply_ms.unwrap_or(DEFAULT_BOUND_MS),
                100.0,
                "100 or more",
            ),
            (
                "drain_ms",
                self.drain_ms.unwrap_or(DEFAULT_BOUND_MS),
                100.0,
                "100 or more",
            ),
            ("retry_ratio", self.retry_ratio, 0.0, "0 or more"),
            ("retry_slack", self.retry_slack, 0.0, "0 or more"),
            (
                "retry_window_seconds",
                self.retry_window_seconds,
                0.1,
                "0.1 or more",
            ),
            (
                "max_descriptors",
                self.max_descriptors as f64,
                256.0,
                "256 or more",
            ),
            ("memory_mb", self.memory_mb as f64, 16.0, "16 or more"),
        ];
        for (key, value, least, allowed) in ranges {
            ensure!(
                value.is_finite() && value >= least,
                RangeSnafu {
                    path,
                    key,
                    value: value.to_string(),
                    allowed
                }
            );
        }
        Ok(())
    }
}

/// Converts a validated time in seconds; a time beyond the range of [`Duration`] becomes the
/// longest one.
fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}

#[cfg(test)]
mod tests;
