//! Targets and desired placements.

use std::net::SocketAddr;

use coriandercove_base::{Layer, ModelId, TargetId, ZoneId, data};

data! {
    /// A back end (an engine or a replica of a plain service) and its agent.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Target {
        /// Id of the target, unique in the deployment.
        pub id: TargetId,
        /// Zone of the VM.
        pub zone: ZoneId,
        /// TCP and UDP address of the agent for traffic between processes.
        pub peer: SocketAddr,
        /// Address of the agent's operations endpoint.
        pub operations: SocketAddr,
        /// What the target runs.
        pub kind: TargetKind,
        /// Whether the target itself rejects orders with a stale fencing token. If not, its agent
        /// does.
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

    /// A desired placement: the targets that should hold a range of layers of a model.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Placement {
        /// Name of the model.
        pub model: ModelId,
        /// Version of the weights.
        pub version: String,
        /// First layer of the range, from 0.
        pub first_layer: Layer,
        /// End of the range (exclusive).
        pub end_layer: Layer,
        /// Ids of the targets that should hold the range, sorted.
        pub targets: Vec<TargetId>,
    }
}

impl Placement {
    /// Name of the placement, `{model}@{version}:{first}-{end}`. Layer numbers are zero-padded, so
    /// that names sort like ranges.
    #[must_use]
    pub fn name(&self) -> String {
        format!(
            "{}@{}:{:05}-{:05}",
            self.model, self.version, self.first_layer, self.end_layer
        )
    }
}
