//! Types of chain choice: candidates, requests and chains.

use std::time::Duration;

use coriandercove_base::{Layer, ModelId, TargetId, Time, ZoneId, data};

use crate::explain::RefusalReason;

data! {
    /// Whether a target may get new work.
    #[derive(Copy, Eq, Default)]
    #[serde(rename_all = "snake_case")]
    pub enum TargetState {
        /// Takes new work.
        #[default]
        Ready,
        /// Finishes its work and takes none.
        Leaving,
        /// Ejected as an outlier for a time.
        Ejected,
        /// Unreachable or dead.
        Down,
        /// Loads weights.
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
        /// Version of the weights; a chain never mixes versions.
        pub version: String,
        /// First layer held.
        pub first_layer: Layer,
        /// Layer after the last one held; greater than `first_layer`.
        pub end_layer: Layer,
        /// Whether the engine can stop before `end_layer`. The engine protocol of this project
        /// always runs up to the last layer held, so this is false for its engines.
        pub stops_early: bool,
        /// Accelerator time for a prompt token in one layer.
        pub prefill_per_layer: Duration,
        /// Accelerator time for one decode iteration in one layer.
        pub decode_per_layer: Duration,
        /// Sequences that one iteration serves together; at least 1.
        pub batch_slots: u32,
        /// Sequences that the target takes at once, from all entries together.
        pub concurrency_limit: u32,
        /// Tokens for which KV state fits in memory.
        pub kv_capacity_tokens: u64,
        /// Whether the target takes new work.
        pub state: TargetState,
    }

    /// Lagging report of a target's load, for all entries together.
    #[derive(Copy, Eq, Default)]
    pub struct LoadReport {
        /// Sequences or calls in progress.
        pub sequences: u32,
        /// Tokens with KV state.
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

    /// One step of a chain.
    #[derive(Eq)]
    pub struct ChainHop {
        /// Target that runs the layers.
        pub target: TargetId,
        /// Zone of the target.
        pub zone: ZoneId,
        /// Layer that the input enters.
        pub first_layer: Layer,
        /// Layer after the last one that runs here.
        pub end_layer: Layer,
    }

    /// A chosen chain with its expected times.
    #[derive(Eq)]
    pub struct Chain {
        /// Model, or name of the plain service.
        pub model: ModelId,
        /// Version of the weights in every hop.
        pub version: String,
        /// Hops in layer order, without gaps or overlaps.
        pub hops: Vec<ChainHop>,
        /// Expected time until the first token, without the wait for admission.
        pub first_token: Duration,
        /// Expected time between tokens.
        pub per_token: Duration,
        /// KV tokens that the request reserves at every hop.
        pub kv_tokens: u64,
    }

    /// Reason why no chain could be chosen.
    #[derive(Eq)]
    pub struct NoChain {
        /// Reason for the counters and the caller.
        pub reason: RefusalReason,
        /// First layer that no usable target covers, if a gap is the cause.
        pub uncovered: Option<Layer>,
    }
}

/// What a chain is wanted for.
#[derive(Debug, Clone)]
pub struct ChainRequest<'a> {
    /// Model, or name of the plain service.
    pub model: &'a str,
    /// Version of the weights; any single version if absent.
    pub version: Option<&'a str>,
    /// First layer to cover; 0 for a whole chain.
    pub first_layer: Layer,
    /// Layer after the last one to cover.
    pub end_layer: Layer,
    /// Zone that the input comes from: the entry's, or that of the surviving stage before.
    pub from: &'a ZoneId,
    /// Zone that the output goes to: the entry's, or that of the surviving stage after.
    pub to: &'a ZoneId,
    /// Whether the last stage feeds the first one, as in a whole chain.
    pub ring: bool,
    /// Tokens to prefill: the prompt and, after a failure, the tokens already emitted.
    pub prompt_tokens: u32,
    /// Tokens expected to be generated.
    pub output_tokens: u32,
    /// Tokens that may be generated at the most; they reserve KV memory.
    pub max_tokens: u32,
    /// Bytes of the activation of one token.
    pub activation_bytes: u32,
    /// Targets that must not be used.
    pub exclude: &'a [TargetId],
    /// Prompt tokens expected in the prefix cache of some targets, sorted by target.
    pub cached: &'a [(TargetId, u32)],
}

/// Settings of the planner.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannerConfig {
    /// Targets sampled of each group with the same layer range and zone.
    pub sample: usize,
    /// Bound of the sampled targets for one choice.
    pub max_candidates: usize,
    /// Age from which a load report counts no more.
    pub report_ttl: Time,
    /// Time constant of averaging load reports. It is a few times their usual lag, so that
    /// entries do not all follow one old report.
    pub report_smoothing: Duration,
    /// Cost between two zones for which no link is known.
    pub default_link: LinkCost,
}

impl Default for PlannerConfig {
    fn default() -> Self {
        Self {
            sample: 2,
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
