//! The questionnaire that a new team fills in.

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

use crate::config::{Claims, KeyHash, LayerCompute, Limits};

/// A complete example with comments, written by `coriandercove init --example`.
pub const TEMPLATE: &str = include_str!("answers/template.yaml");

data! {
    /// The answers of one team.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Answers {
        /// Who the team is.
        pub trade: Trade,
        /// Sites and their zones.
        pub sites: Vec<SiteAnswer>,
        /// Delay and bandwidth between and within zones.
        #[serde(default)]
        pub network: NetworkAnswer,
        /// Services of the platform that every process uses.
        pub platform: PlatformAnswer,
        /// Entry VMs.
        pub entries: Vec<EntryAnswer>,
        /// Callers by client account.
        pub accounts: Vec<AccountAnswer>,
        /// Models whose layers are divided among targets.
        #[serde(default)]
        pub models: Vec<ModelAnswer>,
        /// Plain services beside the models.
        #[serde(default)]
        pub services: Vec<ServiceAnswer>,
        /// Groups of equal targets.
        pub targets: Vec<TargetGroup>,
        /// Limits that differ from the defaults.
        #[serde(default)]
        pub limits: Limits,
        /// Record of keyed calls, where it differs from the defaults.
        #[serde(default)]
        pub claims: Claims,
    }

    /// Who the team is.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Trade {
        /// Name of the team.
        pub name: String,
        /// What the team does, for the reader of the file.
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

    /// Delay and bandwidth between and within zones.
    #[derive(Eq)]
    #[serde(deny_unknown_fields, default)]
    pub struct NetworkAnswer {
        /// Between two VMs of one zone.
        pub within_zone: LinkQuality,
        /// Between zones of one region.
        pub between_zones: LinkQuality,
        /// Between zones of different regions.
        pub between_regions: LinkQuality,
        /// Links that differ.
        pub links: Vec<LinkAnswer>,
    }

    /// Delay and bandwidth of a link.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct LinkQuality {
        /// Delay in one direction.
        #[serde(with = "crate::duration")]
        pub delay: Duration,
        /// Bandwidth in bytes per second for each connection.
        pub bytes_per_second: u64,
    }

    /// A link that differs from the others of its kind.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct LinkAnswer {
        /// One end.
        pub a: ZoneId,
        /// The other end.
        pub b: ZoneId,
        /// Delay in one direction.
        #[serde(with = "crate::duration")]
        pub delay: Duration,
        /// Bandwidth in bytes per second for each connection.
        pub bytes_per_second: u64,
    }

    /// Services of the platform that every process uses.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct PlatformAnswer {
        /// URLs of the store; any of them serves any call.
        pub store: Vec<String>,
        /// URL of the VM list.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub vm_list: Option<String>,
    }

    /// An entry VM.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct EntryAnswer {
        /// Name of the process.
        pub node: NodeId,
        /// Zone of the VM.
        pub zone: ZoneId,
        /// Address on which callers are served.
        pub callers: SocketAddr,
        /// TCP and UDP address for other processes.
        pub peer: SocketAddr,
        /// Address of the operations endpoint.
        pub operations: SocketAddr,
    }

    /// A client account and who its callers are.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct AccountAnswer {
        /// Name of the account.
        pub name: String,
        /// Who calls, for the reader of the file.
        #[serde(default)]
        pub callers: String,
        /// Share of the capacity under contention, relative to other accounts.
        #[serde(default = "default_weight")]
        pub weight: u32,
        /// Sustained quota in tokens per second, prompt and answer together.
        pub quota_tokens_per_second: u64,
        /// Tokens that may be used at once; 10 s of the quota if not given.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub burst_tokens: Option<u64>,
        /// Requests in progress at one time, over all entries.
        #[serde(default = "default_concurrency")]
        pub concurrency: u32,
        /// Priority of the requests; lower values run first.
        #[serde(default = "default_priority")]
        pub priority: u8,
        /// Hashes of the keys, from `coriandercove key new`.
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
        /// What the model drafts, for the reader of the file.
        #[serde(default)]
        pub drafts: String,
        /// Number of layers.
        pub layers: Layer,
        /// Values in the activation of one token.
        pub hidden_size: u32,
        /// Bytes of one value of an activation.
        #[serde(default = "default_bytes_per_value")]
        pub bytes_per_value: u8,
        /// Longest sequence, prompt and answer together, in tokens.
        pub max_tokens: u32,
        /// Latest time of the first token after the request arrived.
        #[serde(default = "default_first_token_deadline", with = "crate::duration")]
        pub first_token_deadline: Duration,
        /// Longest time between two tokens.
        #[serde(default = "default_token_deadline", with = "crate::duration")]
        pub token_deadline: Duration,
        /// Latest end of a request after it arrived.
        #[serde(default = "default_request_deadline", with = "crate::duration")]
        pub request_deadline: Duration,
        /// Priority among requests of equally urgent accounts; lower values run first.
        #[serde(default = "default_priority")]
        pub priority: u8,
        /// Expected compute on each kind of accelerator.
        pub compute: Vec<LayerCompute>,
    }

    /// A plain service.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct ServiceAnswer {
        /// Name of the service.
        pub name: String,
        /// Calls that run at most once.
        #[serde(default)]
        pub must_not_repeat: Vec<CallAnswer>,
        /// Calls that may be retried. Calls in neither list run at most once.
        #[serde(default)]
        pub repeatable: Vec<CallAnswer>,
        /// Latest end of a call after it arrived.
        #[serde(default = "default_service_timeout", with = "crate::duration")]
        pub timeout: Duration,
        /// Calls in progress at one replica.
        #[serde(default = "default_concurrency")]
        pub concurrency: u32,
    }

    /// A kind of call to a plain service.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct CallAnswer {
        /// Method and path pattern, such as `POST /slots/*`.
        pub call: String,
        /// Latest end of the call, if it differs from the service's timeout; text with a unit.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub timeout: Option<String>,
    }

    /// Equal targets in one zone.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct TargetGroup {
        /// Name of the group; targets are called `{name}-001` and so on.
        pub name: String,
        /// Zone of the VMs.
        pub zone: ZoneId,
        /// Number of targets.
        pub replicas: u32,
        /// Peer address of the first agent. The operations endpoint has the next port.
        pub peer: SocketAddr,
        /// How the addresses of further targets follow from the first.
        #[serde(default)]
        pub spread: Spread,
        /// Port of the engine or service on its VM; two above the agent's peer port if not given.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub target_port: Option<u16>,
        /// Whether the targets themselves refuse orders with an old fencing number.
        pub checks_orders: bool,
        /// Kind of accelerator; only for engines.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub accelerator: Option<String>,
        /// Model that the targets hold; only for engines.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub model: Option<ModelId>,
        /// Version of the weights; that of the model if not given.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub version: Option<String>,
        /// First layer held; 0 if not given.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub first_layer: Option<Layer>,
        /// Layer after the last one held; the model's number of layers if not given.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub end_layer: Option<Layer>,
        /// Plain service that the targets run; only for services.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub service: Option<String>,
    }

    /// How the addresses of the targets of a group follow from the first.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum Spread {
        /// One IP address after the other with the same ports.
        #[default]
        Ip,
        /// The same IP address with ports 10 apart, for trials on one machine.
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
