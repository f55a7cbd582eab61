//! Profiles of the two deployments that are measured, scaled to a machine with few cores.

use std::time::Duration;

use clap::ValueEnum;
use coriandercove_base::rng::Rng;
use coriandercove_local::{EnginePlan, EngineTuning, Plan};
use rand::Rng as _;

/// Number of layers of the model in both profiles.
pub const LAYERS: u16 = 24;
/// Zones of both profiles.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// A deployment and the lengths of its usual requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Profile {
    /// Brandstätter Mosaikwerkstätten: three layer ranges of ten replicas.
    Brandstatter,
    /// Hyotan Namefuda Works: two layer ranges of fifteen replicas.
    Hyotan,
}

/// Kinds of accelerators of the replicas of each layer range.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AcceleratorMix {
    /// Of five replicas, three are `a10`, one is `l4` and one is `t4`.
    Mixed,
    /// All replicas are `a10`.
    Uniform,
}

/// Ranges of the lengths of prompts and answers in tokens, both uniformly distributed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLengths {
    /// Shortest and longest prompt.
    pub prompt: (u32, u32),
    /// Shortest and longest answer.
    pub output: (u32, u32),
}

impl RequestLengths {
    /// Mean length of a prompt in tokens.
    pub const fn mean_prompt(&self) -> f64 {
        (self.prompt.0 + self.prompt.1) as f64 / 2.0
    }

    /// Mean length of an answer in tokens.
    pub const fn mean_output(&self) -> f64 {
        (self.output.0 + self.output.1) as f64 / 2.0
    }

    /// Draws the lengths of a prompt and of its answer.
    pub fn draw(&self, rng: &mut Rng) -> (u32, u32) {
        let prompt = rng.random_range(self.prompt.0..=self.prompt.1);
        (prompt, rng.random_range(self.output.0..=self.output.1))
    }
}

impl Profile {
    /// Name of the profile on the command line and in the figures.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Brandstatter => "brandstatter",
            Self::Hyotan => "hyotan",
        }
    }

    /// Number of layer ranges, and of replicas of each.
    const fn ranges(self) -> (u16, usize) {
        match self {
            Self::Brandstatter => (3, 10),
            Self::Hyotan => (2, 15),
        }
    }

    /// Returns the plan of the deployment: 30 engines in 3 zones, 3 replicas of the plain service
    /// and 3 entries.
    pub fn plan(self, mix: AcceleratorMix, seed: u64) -> Plan {
        let (ranges, replicas) = self.ranges();
        let width = LAYERS / ranges;
        let engines = (0..ranges).flat_map(|r| {
            (0..replicas).map(move |i| EnginePlan {
                first_layer: r * width,
                end_layer: (r + 1) * width,
                accelerator: accelerator(mix, i).to_owned(),
                zone: ZONES[i % ZONES.len()].into(),
            })
        });
        Plan {
            layers: LAYERS,
            engines: engines.collect(),
            service_replicas: 3,
            entries: 3,
            concurrency: self.concurrency(),
            first_token_deadline: Duration::from_millis(700),
            seed,
            tuning: EngineTuning {
                slowdown: Some(2),
                max_batch: Some(4),
                compute_known: true,
            },
            ..Plan::small()
        }
    }

    /// Maximum number of sequences in progress at a replica. A sequence is at one stage of its
    /// chain at a time, so a full batch at every stage needs at least `max_batch` sequences for
    /// each layer range. Twice that compensates for an uneven distribution over the stages.
    const fn concurrency(self) -> u32 {
        self.ranges().0 as u32 * 4 * 2
    }

    /// Ranges of the lengths of prompts and answers.
    pub const fn request_lengths(self) -> RequestLengths {
        match self {
            // Requests for layouts and quote letters.
            Self::Brandstatter => RequestLengths {
                prompt: (32, 96),
                output: (24, 72),
            },
            // Requests for reading notes and blessings.
            Self::Hyotan => RequestLengths {
                prompt: (16, 64),
                output: (16, 64),
            },
        }
    }
}

/// Returns the accelerator of the replica `i` of a layer range.
const fn accelerator(mix: AcceleratorMix, i: usize) -> &'static str {
    match (mix, i % 5) {
        (AcceleratorMix::Mixed, 3) => "l4",
        (AcceleratorMix::Mixed, 4) => "t4",
        _ => "a10",
    }
}
