//! Model pipelines.

use std::time::Duration;

use coriandercove_base::{Layer, ModelId, data};

data! {
    /// A model whose layers are divided among several VMs.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Pipeline {
        /// Name of the model.
        pub model: ModelId,
        /// Version of the weights that requests use.
        pub version: String,
        /// Number of layers.
        pub layers: Layer,
        /// Values in the activation of one token.
        pub hidden_size: u32,
        /// Bytes of one value of an activation.
        pub bytes_per_value: u8,
        /// Longest sequence, prompt and answer together, in tokens.
        pub max_tokens: u32,
        /// Latest time of the first token after the request arrived.
        #[serde(with = "crate::duration")]
        pub first_token_deadline: Duration,
        /// Longest time between two tokens.
        #[serde(with = "crate::duration")]
        pub token_deadline: Duration,
        /// Latest end of a request after it arrived.
        #[serde(with = "crate::duration")]
        pub request_deadline: Duration,
        /// Priority among requests of equally urgent accounts, 0 to 9; lower values run first.
        pub priority: u8,
        /// Expected compute on each kind of accelerator, sorted by kind.
        pub compute: Vec<LayerCompute>,
    }

    /// Expected compute of one layer on one kind of accelerator.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct LayerCompute {
        /// Kind of accelerator, such as `l4`.
        pub accelerator: String,
        /// Time of one iteration of one layer, in microseconds.
        pub decode_us: u32,
        /// Time of one layer for each prompt token, in nanoseconds.
        pub prefill_ns: u32,
    }
}

impl Pipeline {
    /// Bytes that one token takes on a link between two stages.
    #[must_use]
    pub const fn activation_bytes(&self) -> u64 {
        self.hidden_size as u64 * self.bytes_per_value as u64
    }

    /// Expected compute on one kind of accelerator.
    #[must_use]
    pub fn compute_on(&self, accelerator: &str) -> Option<&LayerCompute> {
        self.compute.iter().find(|c| c.accelerator == accelerator)
    }
}
