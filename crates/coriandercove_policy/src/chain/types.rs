//! Types of the planner: candidates, load, requests, chains and settings.

use std::time::Duration;

use coriandercove_base::{Layer, ModelId, TargetId, Time, ZoneId, data};

use crate::explain::RefusalReason;

data! {
    /// State of a target; only a ready one gets new work.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum TargetState {
        /// Takes new work.
        #[default]
        Ready,
        /// Finishes its work in progress and takes no new work.
        Leaving,
        /// Temporarily ejected as an outlier.
        Ejected,
        /// Unreachable or dead.
        Down,
        /// Loading weights.
        Loading,
    }

    /// A target that holds a range of layers of one model version, or a plain service.
    pub struct Candidate {
        /// Name of the target.
        pub target: TargetId,
        /// Zone of the target's VM.
        pub zone: ZoneId,
        /// Model, or name of the plain service.
        pub model: ModelId,
        /// Version of the weights. A chain never mixes versions.
        pub version: String,
        /// First layer held.
        pub first_layer: Layer,
        /// Layer after the last one held; greater than `first_layer`.
        pub end_layer: Layer,
        /// Whether the engine can stop before `end_layer`. The engine protocol of this project
        /// always runs up to the last layer held, so this is false for engines that use it.
        pub stops_early: bool,
        /// Accelerator time of one prompt token per layer.
        pub prefill_per_layer: Duration,
        /// Accelerator time of one decode iteration per layer.
        pub decode_per_layer: Duration,
        /// Maximum number of sequences in the batch of one iteration; at least 1.
        pub batch_slots: u32,
        /// Maximum number of sequences in progress, from all entries together.
        pub concurrency_limit: u32,
        /// Number of tokens whose KV state fits in memory.
        pub kv_capacity_tokens: u64,
        /// Whether the target takes new work.
        pub state: TargetState,
    }

    /// Load of a target from all entries together, as last reported. It lags behind the real load.
    #[derive(Copy, Eq, Default)]
    pub struct LoadReport {
        /// Sequences or calls in progress.
        pub sequences: u32,
        /// Tokens whose KV state is in memory.
        pub kv_tokens: u64,
        /// Items waiting for an iteration.
        pub queued: u32,
    }

    /// Cost of a link in one direction.
    #[derive(Copy, Eq)]
    pub struct LinkCost {
        /// One-way delay.
        pub delay: Duration,
        /// Bytes per second; 0 means that the transfer time is ignored.
        pub bandwidth: u64,
    }

    /// One stage of a chain.
    #[derive(Eq)]
    pub struct ChainHop {
        /// Target that runs the layers.
        pub target: TargetId,
        /// Zone of the target.
        pub zone: ZoneId,
        /// First layer that runs here.
        pub first_layer: Layer,
        /// Layer after the last one that runs here.
        pub end_layer: Layer,
    }

    /// A chosen chain with its expected times.
    #[derive(Eq)]
    pub struct Chain {
        /// Model, or name of the plain service.
        pub model: ModelId,
        /// Version of the weights at every stage.
        pub version: String,
        /// Stages in layer order, without gaps or overlaps.
        pub hops: Vec<ChainHop>,
        /// Expected time until the first token, without the wait for admission.
        pub first_token: Duration,
        /// Expected time between tokens.
        pub per_token: Duration,
        /// KV tokens that the request reserves at every stage.
        pub kv_tokens: u64,
    }

    /// Error: no chain could be chosen.
    #[derive(Eq)]
    pub struct NoChain {
        /// Reason that is counted and returned to the caller.
        pub reason: RefusalReason,
        /// First layer that no usable target covers, if a gap is the cause.
        pub uncovered: Option<Layer>,
    }
}

/// A request for a whole chain, or for stages that replace lost ones of a running chain.
#[derive(Debug, Clone)]
pub struct ChainRequest<'a> {
    /// Model, or name of the plain service.
    pub model: &'a str,
    /// Required version of the weights; any one version if absent.
    pub version: Option<&'a str>,
    /// First layer to cover; 0 for a whole chain.
    pub first_layer: Layer,
    /// Layer after the last one to cover.
    pub end_layer: Layer,
    /// Zone that the input comes from: the entry's, or that of the surviving stage before the first
    /// layer.
    pub from: &'a ZoneId,
    /// Zone that the output goes to: the entry's, or that of the surviving stage after the last
    /// layer.
    pub to: &'a ZoneId,
    /// Whether the last stage sends each token back to the first stage, as in a whole chain.
    pub ring: bool,
    /// Tokens to prefill: the prompt and, when a failed stream is continued, the tokens already
    /// emitted.
    pub prompt_tokens: u32,
    /// Tokens expected to be generated.
    pub output_tokens: u32,
    /// Maximum number of generated tokens; KV memory is reserved for all of them.
    pub max_tokens: u32,
    /// Size of the activation of one token, in bytes.
    pub activation_bytes: u32,
    /// Targets that must not be used, such as those of failed attempts.
    pub exclude: &'a [TargetId],
    /// Prompt tokens expected in the prefix caches of targets, sorted by target; 0 for the others.
    pub cached: &'a [(TargetId, u32)],
}

/// Settings of [`super::Planner`].
#[derive(Debug, Clone, PartialEq)]
pub struct PlannerConfig {
    /// Number of targets sampled from each group of targets with the same layer range and zone.
    pub sample_per_group: usize,
    /// Maximum number of sampled targets for one choice.
    pub max_candidates: usize,
    /// Age from which a load report is ignored.
    pub report_ttl: Time,
    /// Time constant for averaging load reports. It is a few times their usual lag, so that the
    /// entries do not all react to the same outdated report.
    pub report_smoothing: Duration,
    /// Cost of a link between two zones for which no cost is set.
    pub default_link: LinkCost,
}

impl Default for PlannerConfig {
    fn default() -> Self {
        Self {
            sample_per_group: 2,
            max_candidates: 48,
            report_ttl: Duration::from_secs(10),
            report_smoothing: Duration::from_secs(3),
            default_link: LinkCost {
                delay: Duration::from_micros(500),
                bandwidth: 0,
            },
        }
    }
}
