//! Settings of the entry process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use coriandercove_base::telemetry::LogFormat;
use coriandercove_base::{NodeId, ZoneId, data};

use super::common::Secrets;

data! {
    /// Settings of one entry.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct EntrySettings {
        /// Node name of the process, unique in the deployment.
        pub node: NodeId,
        /// Zone of the VM.
        pub zone: ZoneId,
        /// Region of the zone.
        pub region: String,
        /// Listen address for callers.
        pub callers: SocketAddr,
        /// Listen address of the operations endpoint (HTTP).
        pub operations: SocketAddr,
        /// TCP and UDP listen address for traffic between processes.
        pub peer: SocketAddr,
        /// Address at which other processes reach `peer`, if it differs.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub advertise: Option<SocketAddr>,
        /// Peer addresses of other processes, from which a new process learns the other members.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// URLs of the store. Every URL accepts every call.
        pub store: Vec<String>,
        /// URL of the service that lists the VMs of the deployment.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub vm_list: Option<String>,
        /// File with the cluster key. If absent, [`super::CLUSTER_KEY_ENV`] is used.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub cluster_key_file: Option<PathBuf>,
        /// File with the operator token. If absent, [`super::OPERATOR_TOKEN_ENV`] is used.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub operator_token_file: Option<PathBuf>,
        /// Format of log lines.
        #[serde(default)]
        pub log: LogFormat,
        /// Time for requests in flight to finish after a stop was requested.
        #[serde(default = "super::common::drain_deadline", with = "crate::duration")]
        pub drain_deadline: Duration,
        /// Limits of this process.
        #[serde(default)]
        pub limits: EntryLimits,
    }

    /// Limits of one entry. At present the process does not read `streams`, `members` and
    /// `store_calls_per_second`.
    #[derive(Eq)]
    #[serde(deny_unknown_fields, default)]
    pub struct EntryLimits {
        /// Maximum number of open connections of callers.
        pub connections: u32,
        /// Largest request body, in bytes.
        pub body_bytes: u32,
        /// Memory of the process, in MB. Bodies, prompts and answers of requests may take half of it
        /// together.
        pub memory_mb: u32,
        /// Maximum number of streams in progress.
        pub streams: u32,
        /// Number of tokens that the head stage may produce ahead of a slow caller.
        pub credit_tokens: u32,
        /// Time in which a caller must send the head of a request.
        #[serde(with = "crate::duration")]
        pub head_timeout: Duration,
        /// Maximum number of members in the membership table.
        pub members: u32,
        /// Maximum number of calls to the store per second.
        pub store_calls_per_second: u32,
    }
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            connections: 16_384,
            body_bytes: 4 * 1024 * 1024,
            memory_mb: 1024,
            streams: 16_384,
            credit_tokens: 64,
            head_timeout: Duration::from_secs(10),
            members: 8192,
            store_calls_per_second: 50,
        }
    }
}

impl EntrySettings {
    /// Address at which other processes reach this one: `advertise`, or else `peer`.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peer)
    }

    /// Reads the cluster key and the operator token.
    ///
    /// # Errors
    /// A message with the settings key, the problem, which names the file or variable, and what is
    /// allowed.
    pub fn secrets(&self) -> Result<Secrets, String> {
        Secrets::read(
            self.cluster_key_file.as_deref(),
            self.operator_token_file.as_deref(),
        )
    }
}
