//! Model pipelines.

use std::time::Duration;

use coriandercove_base::{Layer, ModelId, data};

data! {
    /// A model whose layers are distributed over several VMs.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Pipeline {
        /// Name of the model.
        pub model: ModelId,
        /// Version of the weights that requests use.
        pub version: String,
        /// Number of layers of the model.
        pub layers: Layer,
        /// Number of values in the activation of one token.
        pub hidden_size: u32,
        /// Size of one activation value, in bytes.
        pub bytes_per_value: u8,
        /// Longest sequence in tokens, prompt and answer together.
        pub max_tokens: u32,
        /// Deadline of the first token, counted from the arrival of the request.
        #[serde(with = "crate::duration")]
        pub first_token_deadline: Duration,
        /// Longest allowed time between two tokens.
        #[serde(with = "crate::duration")]
        pub token_deadline: Duration,
        /// Deadline of the whole request, counted from its arrival.
        #[serde(with = "crate::duration")]
        pub request_deadline: Duration,
        /// Priority among requests of accounts with equal priority, 0 to 9; lower values run first.
        pub priority: u8,
        /// Expected compute time of a layer on each kind of accelerator, sorted by kind.
        pub compute: Vec<LayerCompute>,
    }

    /// Expected compute time of one layer on one kind of accelerator.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct LayerCompute {
        /// Kind of accelerator, such as `l4`.
        pub accelerator: String,
        /// Time of one decode iteration of one layer, in microseconds.
        pub decode_us: u32,
        /// Prefill time of one layer for each prompt token, in nanoseconds.
        pub prefill_ns: u32,
    }
}

impl Pipeline {
    /// Size of the activation of one token, sent from one stage to the next, in bytes.
    #[must_use]
    pub const fn activation_bytes(&self) -> u64 {
        self.hidden_size as u64 * self.bytes_per_value as u64
    }

    /// Expected compute time on one kind of accelerator; `None` if the model is not configured for
    /// it.
    #[must_use]
    pub fn compute_on(&self, accelerator: &str) -> Option<&LayerCompute> {
        self.compute.iter().find(|c| c.accelerator == accelerator)
    }
}
