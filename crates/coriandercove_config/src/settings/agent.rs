//! Settings of the agent process.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use coriandercove_base::telemetry::LogFormat;
use coriandercove_base::{NodeId, TargetId, ZoneId, data};

use super::common::Secrets;

data! {
    /// Settings of one agent.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct AgentSettings {
        /// Node name of the process, unique in the deployment.
        pub node: NodeId,
        /// Zone of the VM.
        pub zone: ZoneId,
        /// Region of the zone.
        pub region: String,
        /// TCP and UDP listen address for traffic between processes.
        pub peer: SocketAddr,
        /// Address at which other processes reach `peer`, if it differs.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub advertise: Option<SocketAddr>,
        /// Listen address of the operations endpoint (HTTP).
        pub operations: SocketAddr,
        /// Id of the target that the agent manages.
        pub target_id: TargetId,
        /// Kind and URL of the target.
        pub target: TargetSettings,
        /// Peer addresses of entries, from which a new process learns the other members.
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
        /// Time for streams in flight to finish after a stop was requested.
        #[serde(default = "super::common::drain_deadline", with = "crate::duration")]
        pub drain_deadline: Duration,
        /// Limits of this process.
        #[serde(default)]
        pub limits: AgentLimits,
    }

    /// The target that an agent manages.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct TargetSettings {
        /// What the target runs.
        pub kind: TargetSettingsKind,
        /// URL of the engine or service.
        pub url: String,
        /// Name of the plain service; only with kind `service`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub service: Option<String>,
        /// Whether the target itself rejects orders with a stale fencing token. If not, the agent
        /// does.
        #[serde(default)]
        pub checks_orders: bool,
    }

    /// What a target runs, as the settings of its agent say. The configuration has
    /// [`crate::config::TargetKind`] with more detail.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum TargetSettingsKind {
        /// An engine, which holds layers of a model.
        Engine,
        /// A replica of a plain service.
        Service,
    }

    /// Limits of one agent. At present the process does not read `tickets` and
    /// `store_calls_per_second`.
    #[derive(Eq)]
    #[serde(deny_unknown_fields, default)]
    pub struct AgentLimits {
        /// Maximum number of streams in progress.
        pub streams: u32,
        /// Memory for retained stage outputs, which are replayed when a stage is rebuilt, in bytes.
        pub retained_bytes: u64,
        /// Memory of the process, in MB. Bodies and answers of calls may take half of it together;
        /// `retained_bytes` come on top.
        pub memory_mb: u32,
        /// Maximum number of concurrent forward calls to the engine.
        pub forward_calls: u32,
        /// Maximum number of items in one forward call.
        pub batch_items: u32,
        /// Maximum number of remembered tickets of plain-service calls.
        pub tickets: u32,
        /// Time after which the streams of an entry are freed once its link has closed.
        #[serde(with = "crate::duration")]
        pub entry_grace: Duration,
        /// Maximum number of calls to the store per second.
        pub store_calls_per_second: u32,
    }
}

impl Default for AgentLimits {
    fn default() -> Self {
        Self {
            streams: 4096,
            retained_bytes: 64 * 1024 * 1024,
            memory_mb: 1024,
            forward_calls: 64,
            batch_items: 256,
            tickets: 65_536,
            entry_grace: Duration::from_secs(5),
            store_calls_per_second: 5,
        }
    }
}

impl AgentSettings {
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
