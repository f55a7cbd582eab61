//! Settings of the agent.

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
        /// Name of the process, unique in the deployment.
        pub node: NodeId,
        /// Zone of the VM.
        pub zone: ZoneId,
        /// Region of the zone.
        pub region: String,
        /// TCP and UDP address for other processes.
        pub peer: SocketAddr,
        /// Address under which other processes reach `peer`, if it differs.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub advertise: Option<SocketAddr>,
        /// Address of the operations endpoint.
        pub operations: SocketAddr,
        /// Id of the target beside the agent.
        pub target_id: TargetId,
        /// What the target runs and where.
        pub target: TargetSettings,
        /// Peer addresses of entries, from which a new process learns the rest.
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
        /// Time that streams in flight get to end after the agent was told to leave.
        #[serde(default = "super::common::drain_deadline", with = "crate::duration")]
        pub drain_deadline: Duration,
        /// Limits of this process.
        #[serde(default)]
        pub limits: AgentLimits,
    }

    /// The target beside an agent.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct TargetSettings {
        /// What the target runs.
        pub kind: TargetRole,
        /// URL of the engine or service.
        pub url: String,
        /// Name of the plain service; only with kind `service`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub service: Option<String>,
        /// Whether the target itself refuses orders with an old fencing number.
        #[serde(default)]
        pub checks_orders: bool,
    }

    /// What a target runs.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum TargetRole {
        /// An engine.
        Engine,
        /// A replica of a plain service.
        Service,
    }

    /// Limits of one agent.
    #[derive(Eq)]
    #[serde(deny_unknown_fields, default)]
    pub struct AgentLimits {
        /// Streams in progress.
        pub streams: u32,
        /// Retained outputs for replay to a rebuilt stage, in bytes.
        pub retained_bytes: u64,
        /// Forward calls to the engine that are under way at one time.
        pub forward_calls: u32,
        /// Items in one forward call.
        pub batch_items: u32,
        /// Tickets of plain-service calls that are remembered.
        pub tickets: u32,
        /// Time after which streams of an entry whose link closed are freed.
        #[serde(with = "crate::duration")]
        pub entry_grace: Duration,
        /// Calls to the store per second.
        pub store_calls_per_second: u32,
    }
}

impl Default for AgentLimits {
    fn default() -> Self {
        Self {
            streams: 4096,
            retained_bytes: 64 * 1024 * 1024,
            forward_calls: 64,
            batch_items: 256,
            tickets: 65_536,
            entry_grace: Duration::from_secs(5),
            store_calls_per_second: 5,
        }
    }
}

impl AgentSettings {
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
