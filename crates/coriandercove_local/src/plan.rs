//! What a local deployment consists of.

use std::time::Duration;

use coriandercove_base::{Layer, ModelId, ZoneId};
use coriandercove_config::{Pipeline, Repeat, Rule, Service};

use crate::network::Network;
use crate::tuning::EngineTuning;

/// One engine of a plan.
#[derive(Debug, Clone)]
pub struct EnginePlan {
    /// First layer held.
    pub first_layer: Layer,
    /// Layer after the last one held.
    pub end_layer: Layer,
    /// Kind of accelerator.
    pub accelerator: String,
    /// Zone of the VM.
    pub zone: ZoneId,
}

/// What a local deployment consists of.
#[derive(Debug, Clone)]
pub struct Plan {
    /// The model.
    pub model: ModelId,
    /// Its layers.
    pub layers: Layer,
    /// Engines that share the model.
    pub engines: Vec<EnginePlan>,
    /// Name of the plain service; no service if it has no replicas.
    pub service: String,
    /// Replicas of the plain service.
    pub service_replicas: usize,
    /// Entries.
    pub entries: usize,
    /// Port of the first entry for callers; 0 lets the system choose.
    pub first_port: u16,
    /// Sequences that an engine takes at once.
    pub concurrency: u32,
    /// Time after which a request without a first token is refused.
    pub first_token_deadline: Duration,
    /// Seed of the choices of stand-ins and entries.
    pub seed: u64,
    /// Settings of the engine stand-ins that differ from the defaults.
    pub tuning: EngineTuning,
    /// Delays and partitions between zones; links are not shaped if absent.
    pub network: Option<Network>,
}

impl Plan {
    /// A model of 24 layers in three ranges with two replicas each, a booking service with two
    /// replicas and two entries.
    #[must_use]
    pub fn small() -> Self {
        let zones = ["a", "b"];
        let ranges = [(0, 8), (8, 16), (16, 24)];
        let engines = ranges.iter().flat_map(|&(first_layer, end_layer)| {
            zones.map(|zone| EnginePlan {
                first_layer,
                end_layer,
                accelerator: "a10".to_owned(),
                zone: zone.into(),
            })
        });
        Self {
            model: "drafter".into(),
            layers: 24,
            engines: engines.collect(),
            service: "workshop".to_owned(),
            service_replicas: 2,
            entries: 2,
            first_port: 0,
            concurrency: 64,
            // Generous, so that tests do not depend on the speed of the machine.
            first_token_deadline: Duration::from_secs(30),
            seed: 1,
            tuning: EngineTuning::default(),
            network: None,
        }
    }

    /// The model as the configuration describes it.
    #[must_use]
    pub fn pipeline(&self) -> Pipeline {
        Pipeline {
            model: self.model.clone(),
            version: "1".to_owned(),
            layers: self.layers,
            hidden_size: 4096,
            bytes_per_value: 2,
            max_tokens: 32_768,
            first_token_deadline: self.first_token_deadline,
            token_deadline: Duration::from_millis(60),
            request_deadline: Duration::from_secs(120),
            priority: 4,
            compute: self.compute(),
        }
    }

    /// The plain service as the configuration describes it: bookings must not repeat.
    #[must_use]
    pub fn service_rules(&self) -> Service {
        let rule = |method: &str, path: &str, repeat| Rule {
            method: method.to_owned(),
            path: path.to_owned(),
            repeat,
            timeout: Duration::from_secs(10),
        };
        Service {
            name: self.service.clone(),
            rules: vec![
                rule("GET", "/**", Repeat::Repeatable),
                rule("POST", "/bookings", Repeat::AtMostOnce),
            ],
            timeout: Duration::from_secs(10),
            concurrency: 64,
        }
    }
}
