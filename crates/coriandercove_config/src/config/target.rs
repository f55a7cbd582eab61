//! Targets and placement wishes.

use std::net::SocketAddr;

use coriandercove_base::{Layer, ModelId, TargetId, ZoneId, data};

data! {
    /// A back end with its agent.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Target {
        /// Id of the target.
        pub id: TargetId,
        /// Zone of its VM.
        pub zone: ZoneId,
        /// TCP and UDP address of the agent.
        pub peer: SocketAddr,
        /// Address of the agent's operations endpoint.
        pub operations: SocketAddr,
        /// What the target runs.
        pub kind: TargetKind,
        /// Whether the target itself refuses orders with an old fencing number.
        pub checks_orders: bool,
    }

    /// What a target runs.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case", deny_unknown_fields)]
    pub enum TargetKind {
        /// An engine that holds a model or a range of its layers.
        Engine {
            /// Kind of accelerator, such as `l4`.
            accelerator: String,
        },
        /// A replica of a plain service.
        Service {
            /// Name of the service.
            service: String,
        },
    }

    /// A wish for a range of layers to be held by certain targets.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Placement {
        /// Name of the model.
        pub model: ModelId,
        /// Version of the weights.
        pub version: String,
        /// First layer of the range.
        pub first_layer: Layer,
        /// Layer after the last one of the range.
        pub end_layer: Layer,
        /// Targets that shall hold the range, sorted.
        pub targets: Vec<TargetId>,
    }
}

impl Placement {
    /// Name of the wish; layer numbers are padded so that names sort like ranges.
    #[must_use]
    pub fn name(&self) -> String {
        format!(
            "{}@{}:{:05}-{:05}",
            self.model, self.version, self.first_layer, self.end_layer
        )
    }
}
