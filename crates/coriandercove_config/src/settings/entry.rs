//! Settings of the entry.

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
        /// Name of the process, unique in the deployment.
        pub node: NodeId,
        /// Zone of the VM.
        pub zone: ZoneId,
        /// Region of the zone.
        pub region: String,
        /// Address on which callers are served.
        pub callers: SocketAddr,
        /// Address of the operations endpoint.
        pub operations: SocketAddr,
        /// TCP and UDP address for other processes.
        pub peer: SocketAddr,
        /// Address under which other processes reach `peer`, if it differs.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub advertise: Option<SocketAddr>,
        /// Peer addresses of other processes, from which a new process learns the rest.
        #[serde(default)]
        pub seeds: Vec<SocketAddr>,
        /// URLs of the store; any of them serves any call.
        pub store: Vec<String>,
        /// URL of the VM list.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub vm_list: Option<String>,
        /// File with the cluster key. The environment is used without it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub cluster_key_file: Option<PathBuf>,
        /// File with the operator token. The environment is used without it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub operator_token_file: Option<PathBuf>,
        /// How log lines are written.
        #[serde(default)]
        pub log: LogFormat,
        /// Time that requests in flight get to end after the entry was told to stop.
        #[serde(default = "super::common::drain_deadline", with = "crate::duration")]
        pub drain_deadline: Duration,
        /// Limits of this process.
        #[serde(default)]
        pub limits: EntryLimits,
    }

    /// Limits of one entry.
    #[derive(Eq)]
    #[serde(deny_unknown_fields, default)]
    pub struct EntryLimits {
        /// Connections of callers.
        pub connections: u32,
        /// Largest body of a request, in bytes.
        pub body_bytes: u32,
        /// Streams in progress.
        pub streams: u32,
        /// Tokens that the head stage may be ahead of a slow caller.
        pub credit_tokens: u32,
        /// Time that a caller gets to send the head of a request.
        #[serde(with = "crate::duration")]
        pub head_timeout: Duration,
        /// Members kept in the membership table.
        pub members: u32,
        /// Calls to the store per second.
        pub store_calls_per_second: u32,
    }
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            connections: 16_384,
            body_bytes: 4 * 1024 * 1024,
            streams: 16_384,
            credit_tokens: 64,
            head_timeout: Duration::from_secs(10),
            members: 8192,
            store_calls_per_second: 50,
        }
    }
}

impl EntrySettings {
    /// Address under which other processes reach this one.
    #[must_use]
    pub fn peer_address(&self) -> SocketAddr {
        self.advertise.unwrap_or(self.peer)
    }

    /// Reads the cluster key and the operator token.
    ///
    /// # Errors
    /// A text that names the file or variable, the problem and the remedy.
    pub fn secrets(&self) -> Result<Secrets, String> {
        Secrets::read(
            self.cluster_key_file.as_deref(),
            self.operator_token_file.as_deref(),
        )
    }
}
