//! Settings of an entry.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use snafu::{ResultExt, Snafu, ensure};

use coriandercove_base::telemetry::lines::LineLimits;
use coriandercove_base::{NodeId, ZoneId};

/// Bound on following a configuration or a draining target where the settings have none, in ms; the
/// users' sites ask for it.
const DEFAULT_BOUND_MS: f64 = 2000.0;

/// Settings of an entry, read from a YAML file.
#[derive(Debug, Clone, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this process, unique in the deployment.
    pub node: NodeId,
    /// Its availability zone.
    pub zone: ZoneId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the load balancer asks for readiness.
    pub readiness: SocketAddr,
    /// The platform's object store.
    pub store: SocketAddr,
    /// Where the other entries send datagrams.
    pub peers: SocketAddr,
    /// Some other entries; their datagrams go to the same port as this one's.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Where metrics are served; none if absent.
    #[serde(default)]
    pub metrics: Option<SocketAddr>,
    /// Time from SIGTERM to SIGKILL, in seconds.
    pub grace_seconds: f64,
    /// Descriptors that the process may open.
    pub max_descriptors: usize,
    /// Memory of the process, in MB.
    pub memory_mb: usize,
    /// Repeats that all entries may send within the window, for each request of callers.
    pub retry_ratio: f64,
    /// Repeats that all entries may send within the window in addition.
    pub retry_slack: f64,
    /// Length of the window, in seconds.
    pub retry_window_seconds: f64,
    /// Time in which a configuration must be in force, in ms; 2,000 if absent.
    #[serde(default)]
    pub apply_ms: Option<f64>,
    /// Time after which a target that drains must get no more work, in ms; 2,000 if absent.
    #[serde(default)]
    pub drain_ms: Option<f64>,
    /// Most log lines in a second.
    #[serde(default)]
    pub log: LineLimits,
}

/// Why settings are not usable.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{path}: {source}"))]
    Read {
        /// File.
        path: String,
        /// Why.
        source: std::io::Error,
    },
    /// The file is not YAML of the expected form; the source names line and key.
    #[snafu(display("{path}: {source}"))]
    Parse {
        /// File.
        path: String,
        /// Why.
        source: serde_norway::Error,
    },
    /// A value is out of its range.
    #[snafu(display("{path}: {key} is {value}; allowed: {allowed}"))]
    Range {
        /// File.
        path: String,
        /// Key.
        key: &'static str,
        /// Value found.
        value: String,
        /// What is allowed.
        allowed: &'static str,
    },
}

/// Settings that a running process follows; the others take effect with the next start.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LiveSettings {
    /// Repeats of all entries for each request.
    pub retry_ratio: f64,
    /// Repeats of all entries in addition.
    pub retry_slack: f64,
    /// Window of the retry budget.
    pub retry_window: Duration,
    /// Time from SIGTERM to SIGKILL.
    pub grace: Duration,
    /// Time in which a configuration must be in force.
    pub apply: Duration,
    /// Time after which a target that drains must get no more work.
    pub drain: Duration,
    /// Most log lines in a second.
    pub log: LineLimits,
}

/// Keys of [`LiveSettings`].
const LIVE_KEYS: [&str; 7] = [
    "retry_ratio",
    "retry_slack",
    "retry_window_seconds",
    "grace_seconds",
    "apply_ms",
    "drain_ms",
    "log",
];

/// Keys by which two versions of a settings file differ.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Changes {
    /// Keys that a running process follows.
    pub live: Vec<String>,
    /// Keys that take effect with the next start.
    pub at_next_start: Vec<String>,
}

impl Settings {
    /// What a running process follows.
    #[must_use]
    pub fn live(&self) -> LiveSettings {
        LiveSettings {
            retry_ratio: self.retry_ratio,
            retry_slack: self.retry_slack,
            retry_window: seconds(self.retry_window_seconds),
            grace: seconds(self.grace_seconds),
            apply: seconds(self.apply_ms.unwrap_or(DEFAULT_BOUND_MS) / 1e3),
            drain: seconds(self.drain_ms.unwrap_or(DEFAULT_BOUND_MS) / 1e3),
            log: self.log,
        }
    }

    /// Compares with a newer version of the same file.
    ///
    /// # Errors
    /// A version cannot be written as YAML.
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

    /// Reads and checks a settings file.
    ///
    /// # Errors
    /// [`SettingsError`] names the file, the place and what is allowed.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(path).context(ReadSnafu { path: &name })?;
        Self::parse(&text, &name)
    }

    /// Parses and checks settings; `path` is named in errors.
    ///
    /// # Errors
    /// As [`Settings::read`].
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

/// A checked time in seconds; the longest one if it is beyond what a time can hold.
fn seconds(value: f64) -> Duration {
    Duration::try_from_secs_f64(value).unwrap_or(Duration::MAX)
}

#[cfg(test)]
mod tests;
