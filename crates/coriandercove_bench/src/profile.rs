//! The two deployments that are measured, scaled to a machine with few cores.

use std::time::Duration;

use clap::ValueEnum;
use coriandercove_base::rng::Rng;
use coriandercove_local::{EnginePlan, EngineTuning, Plan};
use rand::Rng as _;

/// Layers of the model in both profiles.
pub const LAYERS: u16 = 24;
/// Zones of both profiles.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// A deployment and its usual load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, ValueEnum)]
pub enum Profile {
    /// Brandstätter Mosaikwerkstätten: three layer ranges of ten replicas.
    Brandstatter,
    /// Hyotan Namefuda Works: two layer ranges of fifteen replicas.
    Hyotan,
}

/// Accelerators of the replicas of one layer range.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fleet {
    /// Three of five are `a10`, one `l4` and one `t4`.
    Mixed,
    /// All are `a10`.
    Uniform,
}

/// Lengths of prompts and answers, both uniform in a range, in tokens.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// Shortest and longest prompt.
    pub prompt: (u32, u32),
    /// Shortest and longest answer.
    pub output: (u32, u32),
}

impl Shape {
    /// Mean length of a prompt.
    pub const fn mean_prompt(&self) -> f64 {
        (self.prompt.0 + self.prompt.1) as f64 / 2.0
    }

    /// Mean length of an answer.
    pub const fn mean_output(&self) -> f64 {
        (self.output.0 + self.output.1) as f64 / 2.0
    }

    /// Draws the lengths of a prompt and its answer.
    pub fn draw(&self, rng: &mut Rng) -> (u32, u32) {
        let prompt = rng.random_range(self.prompt.0..=self.prompt.1);
        (prompt, rng.random_range(self.output.0..=self.output.1))
    }
}

impl Profile {
    /// Stable name.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Brandstatter => "brandstatter",
            Self::Hyotan => "hyotan",
        }
    }

    /// Layer ranges, and replicas of each.
    const fn ranges(self) -> (u16, usize) {
        match self {
            Self::Brandstatter => (3, 10),
            Self::Hyotan => (2, 15),
        }
    }

    /// The deployment: 30 engines in 3 zones, 3 replicas of the plain service and 3 entries.
    pub fn plan(self, fleet: Fleet, seed: u64) -> Plan {
        let (ranges, replicas) = self.ranges();
        let width = LAYERS / ranges;
        let engines = (0..ranges).flat_map(|r| {
            (0..replicas).map(move |i| EnginePlan {
                first_layer: r * width,
                end_layer: (r + 1) * width,
                accelerator: accelerator(fleet, i).to_owned(),
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

    /// Sequences that a replica takes at once. A sequence is at one stage of its chain at a time,
    /// so a full batch at every stage needs at least `max_batch` sequences for each range; twice
    /// that covers the chance of an uneven spread.
    const fn concurrency(self) -> u32 {
        self.ranges().0 as u32 * 4 * 2
    }

    /// Lengths of prompts and answers.
    pub const fn shape(self) -> Shape {
        match self {
            // Layouts and quote letters.
            Self::Brandstatter => Shape {
                prompt: (32, 96),
                output: (24, 72),
            },
            // Reading notes and blessings.
            Self::Hyotan => Shape {
                prompt: (16, 64),
                output: (16, 64),
            },
        }
    }
}

const fn accelerator(fleet: Fleet, i: usize) -> &'static str {
    match (fleet, i % 5) {
        (Fleet::Mixed, 3) => "l4",
        (Fleet::Mixed, 4) => "t4",
        _ => "a10",
    }
}
