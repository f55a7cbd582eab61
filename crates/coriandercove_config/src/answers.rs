//! The questionnaire that a new team fills in, and what is generated from its answers.

mod check;
mod generate;
mod origins;
mod processes;

pub use check::{CheckedAnswers, check, parse};
pub use generate::{MAX_TARGETS, generate};
pub use processes::{agent_settings, entry_settings};

use std::net::SocketAddr;
use std::time::Duration;

use coriandercove_base::{Layer, ModelId, NodeId, ZoneId, data};

use crate::config::{ClaimSettings, KeyHash, LayerCompute, Limits};

/// A complete example with comments, written by `coriandercove init --example`.
pub const TEMPLATE: &str = include_str!("answers/template.yaml");

data! {
    /// The answers of one team to the questionnaire.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Answers {
        /// Name and description of the team.
        pub trade: TeamAnswer,
        /// Sites and their zones.
        pub sites: Vec<SiteAnswer>,
        /// Delay and bandwidth of the links between and within zones.
        #[serde(default)]
        pub network: NetworkAnswer,
        /// Platform services that every process uses.
        pub platform: PlatformAnswer,
        /// Entry VMs.
        pub entries: Vec<EntryAnswer>,
        /// Client accounts and their quotas.
        pub accounts: Vec<AccountAnswer>,
        /// Models whose layers are divided among targets.
        #[serde(default)]
        pub models: Vec<ModelAnswer>,
        /// Plain services: HTTP back ends that serve no model.
        #[serde(default)]
        pub services: Vec<ServiceAnswer>,
        /// Groups of targets; all targets of a group have the same kind and zone.
        pub targets: Vec<TargetGroup>,
        /// Limits on queues, retries and rates; absent keys have their defaults.
        #[serde(default)]
        pub limits: Limits,
        /// How calls with an idempotency key are recorded; absent keys have their defaults.
        #[serde(default)]
        pub claims: ClaimSettings,
    }

    /// Name and description of the team.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct TeamAnswer {
        /// Name of the team.
        pub name: String,
        /// What the team does. For readers of the file; the software ignores it.
        #[serde(default)]
        pub description: String,
    }

    /// A site and its zones.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct SiteAnswer {
        /// Name of the site.
        pub name: String,
        /// Region that the site belongs to.
        pub region: String,
        /// Names of the zones at the site.
        pub zones: Vec<ZoneId>,
    }

    /// Delay and bandwidth of the links between and within zones.
    #[derive(Eq)]
    #[serde(deny_unknown_fields, default)]
    pub struct NetworkAnswer {
        /// Links between two VMs in the same zone.
        pub within_zone: LinkQuality,
        /// Links between zones in the same region.
        pub between_zones: LinkQuality,
        /// Links between zones in different regions.
        pub between_regions: LinkQuality,
        /// Links whose values differ from the three classes above.
        pub links: Vec<LinkAnswer>,
    }

    /// Delay and bandwidth of a link.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct LinkQuality {
        /// One-way delay.
        #[serde(with = "crate::duration")]
        pub delay: Duration,
        /// Bandwidth in bytes per second for each connection.
        pub bytes_per_second: u64,
    }

    /// A link whose values override those of its class.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct LinkAnswer {
        /// Zone at one end.
        pub a: ZoneId,
        /// Zone at the other end; equal to `a` for the link within a zone.
        pub b: ZoneId,
        /// One-way delay.
        #[serde(with = "crate::duration")]
        pub delay: Duration,
        /// Bandwidth in bytes per second for each connection.
        pub bytes_per_second: u64,
    }

    /// Platform services that every process uses.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct PlatformAnswer {
        /// URLs of the store. Every URL accepts every call.
        pub store: Vec<String>,
        /// URL of the service that lists the VMs of the deployment.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub vm_list: Option<String>,
    }

    /// An entry VM.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct EntryAnswer {
        /// Node name of the process, unique in the deployment.
        pub node: NodeId,
        /// Zone of the VM.
        pub zone: ZoneId,
        /// Listen address for callers.
        pub callers: SocketAddr,
        /// TCP and UDP address for traffic between processes.
        pub peer: SocketAddr,
        /// Listen address of the operations endpoint (HTTP).
        pub operations: SocketAddr,
    }

    /// A client account: quota, priority and keys of a group of callers.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct AccountAnswer {
        /// Name of the account.
        pub name: String,
        /// Who the callers are. For readers of the file; the software ignores it.
        #[serde(default)]
        pub callers: String,
        /// Relative share of the capacity under contention, from 1.
        #[serde(default = "default_weight")]
        pub weight: u32,
        /// Sustained quota in tokens per second, prompt and answer together.
        pub quota_tokens_per_second: u64,
        /// Tokens that may be used in one burst; 10 s of the quota by default.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub burst_tokens: Option<u64>,
        /// Maximum number of requests in flight, over all entries.
        #[serde(default = "default_concurrency")]
        pub concurrency: u32,
        /// Priority of the requests, 0 to 9; lower values run first.
        #[serde(default = "default_priority")]
        pub priority: u8,
        /// Hashes of the account keys, as printed by `coriandercove key new`.
        #[serde(default)]
        pub keys: Vec<KeyHash>,
    }

    /// A model whose layers are divided among targets.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct ModelAnswer {
        /// Name of the model.
        pub model: ModelId,
        /// Version of the weights that requests use.
        pub version: String,
        /// What the model writes. For readers of the file; the software ignores it.
        #[serde(default)]
        pub drafts: String,
        /// Number of layers of the model.
        pub layers: Layer,
        /// Number of values in the activation of one token.
        pub hidden_size: u32,
        /// Size of one activation value, in bytes.
        #[serde(default = "default_bytes_per_value")]
        pub bytes_per_value: u8,
        /// Longest sequence in tokens, prompt and answer together.
        pub max_tokens: u32,
        /// Deadline of the first token, counted from the arrival of the request.
        #[serde(default = "default_first_token_deadline", with = "crate::duration")]
        pub first_token_deadline: Duration,
        /// Longest allowed time between two tokens.
        #[serde(default = "default_token_deadline", with = "crate::duration")]
        pub token_deadline: Duration,
        /// Deadline of the whole request, counted from its arrival.
        #[serde(default = "default_request_deadline", with = "crate::duration")]
        pub request_deadline: Duration,
        /// Priority among requests of accounts with equal priority, 0 to 9; lower values run first.
        #[serde(default = "default_priority")]
        pub priority: u8,
        /// Expected compute time of a layer on each kind of accelerator.
        pub compute: Vec<LayerCompute>,
    }

    /// A plain service: an HTTP back end that serves no model.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct ServiceAnswer {
        /// Name of the service.
        pub name: String,
        /// Calls that are executed at most once.
        #[serde(default)]
        pub must_not_repeat: Vec<CallAnswer>,
        /// Calls that may be retried. Calls in neither list are executed at most once.
        #[serde(default)]
        pub repeatable: Vec<CallAnswer>,
        /// Deadline of a call, counted from its arrival.
        #[serde(default = "default_service_timeout", with = "crate::duration")]
        pub timeout: Duration,
        /// Maximum number of calls in flight at one replica.
        #[serde(default = "default_concurrency")]
        pub concurrency: u32,
    }

    /// A pattern of calls to a plain service.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct CallAnswer {
        /// HTTP method and path pattern, such as `POST /slots/*`.
        pub call: String,
        /// Timeout of the call as text with a unit; that of the service by default.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub timeout: Option<String>,
    }

    /// A group of targets of the same kind in one zone.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct TargetGroup {
        /// Name of the group. The target ids are `{name}-001`, `{name}-002` and so on.
        pub name: String,
        /// Zone of the VMs.
        pub zone: ZoneId,
        /// Number of targets in the group.
        pub replicas: u32,
        /// Peer address of the first agent. Its operations endpoint listens on the next port.
        pub peer: SocketAddr,
        /// How the addresses of the other targets are derived from the first.
        #[serde(default)]
        pub spread: AddressSpread,
        /// Port of the engine or service on its VM; by default the agent's peer port plus 2.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub target_port: Option<u16>,
        /// Whether the targets themselves reject orders with a stale fencing token. If not, their
        /// agents do.
        pub checks_orders: bool,
        /// Kind of accelerator; only for engines.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub accelerator: Option<String>,
        /// Model whose layers the targets hold; only for engines.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub model: Option<ModelId>,
        /// Version of the weights; by default that of the model. Only for engines.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub version: Option<String>,
        /// First layer held; 0 by default. Only for engines.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub first_layer: Option<Layer>,
        /// End of the held range (exclusive); by default the model's number of layers. Only for
        /// engines.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub end_layer: Option<Layer>,
        /// Plain service that the targets run; excludes `model`.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub service: Option<String>,
    }

    /// How the addresses of the targets of a group are derived from the first.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum AddressSpread {
        /// Consecutive IP addresses with the same ports.
        #[default]
        Ip,
        /// The same IP address with ports 10 apart, for test deployments on one machine.
        Port,
    }
}

const fn default_weight() -> u32 {
    1
}

const fn default_concurrency() -> u32 {
    64
}

const fn default_priority() -> u8 {
    5
}

const fn default_bytes_per_value() -> u8 {
    2
}

const fn default_first_token_deadline() -> Duration {
    Duration::from_millis(700)
}

const fn default_token_deadline() -> Duration {
    Duration::from_millis(60)
}

const fn default_request_deadline() -> Duration {
    Duration::from_secs(120)
}

const fn default_service_timeout() -> Duration {
    Duration::from_secs(10)
}

impl Default for NetworkAnswer {
    fn default() -> Self {
        let quality = |micros, bytes_per_second| LinkQuality {
            delay: Duration::from_micros(micros),
            bytes_per_second,
        };
        Self {
            within_zone: quality(100, 1_250_000_000),
            between_zones: quality(500, 1_250_000_000),
            between_regions: quality(10_000, 125_000_000),
            links: Vec::new(),
        }
    }
}

#[cfg(test)]
mod tests;
