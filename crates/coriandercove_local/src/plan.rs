//! The plan of a local deployment: its model, members and limits.

use std::time::Duration;

use coriandercove_base::{Layer, ModelId, ZoneId};
use coriandercove_config::{Pipeline, Repeat, Rule, Service};

use crate::network::Network;
use crate::tuning::EngineTuning;

/// An engine of a plan: the layers that it holds and its VM.
#[derive(Debug, Clone)]
pub struct EnginePlan {
    /// First layer that the engine holds.
    pub first_layer: Layer,
    /// Layer after the last one that the engine holds.
    pub end_layer: Layer,
    /// Kind of accelerator, which sets the cost model of the stand-in.
    pub accelerator: String,
    /// Zone of the VM.
    pub zone: ZoneId,
}

/// Describes a local deployment.
#[derive(Debug, Clone)]
pub struct Plan {
    /// Name of the model.
    pub model: ModelId,
    /// Number of layers of the model.
    pub layers: Layer,
    /// Engines, which together hold all layers of the model.
    pub engines: Vec<EnginePlan>,
    /// Name of the plain service.
    pub service: String,
    /// Number of replicas of the plain service; 0 for none.
    pub service_replicas: usize,
    /// Number of entries.
    pub entries: usize,
    /// Port at which the first entry serves callers; further entries use the following ports. 0
    /// lets the operating system choose.
    pub first_port: u16,
    /// Maximum number of sequences in progress at one engine.
    pub concurrency: u32,
    /// Time after which a request without a first token is refused.
    pub first_token_deadline: Duration,
    /// Seed of the random choices of stand-ins and entries.
    pub seed: u64,
    /// Changes to the default settings of the engine stand-ins.
    pub tuning: EngineTuning,
    /// Simulated network between the zones; frames pass without delay if absent.
    pub network: Option<Network>,
}

impl Plan {
    /// Returns a plan with a model of 24 layers in three ranges with two replicas each, a booking
    /// service with two replicas, and two entries.
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
            // Long, so that tests do not depend on the speed of the machine.
            first_token_deadline: Duration::from_secs(30),
            seed: 1,
            tuning: EngineTuning::default(),
            network: None,
        }
    }

    /// Returns the configuration object of the model.
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

    /// Returns the configuration object of the plain service, in which bookings must not be
    /// repeated.
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
