//! The list of scenarios, and the types and helpers that they share.

mod failures;
mod models;
mod network;
mod services;
mod steady;

use std::time::Duration;

use coriandercove_local::{Deployment, DeploymentError, Plan};
use serde_json::Value;
use snafu::Snafu;

use crate::load::record::Window;
use crate::load::{Arrivals, Endpoints, Load};
use crate::profile::Profile;

/// Error that keeps a scenario from running to its end.
#[derive(Debug, Snafu)]
pub enum BenchError {
    /// The deployment could not be started or changed.
    #[snafu(transparent)]
    Deployment {
        /// Cause.
        source: DeploymentError,
    },
    /// A load thread could not be created.
    #[snafu(display("cannot start a load thread: {source}"), context(false))]
    Thread {
        /// Cause.
        source: std::io::Error,
    },
}

/// Parameters of the run of a scenario.
#[derive(Debug, Clone, Copy)]
pub struct Context {
    /// Deployment and load.
    pub profile: Profile,
    /// Seed of the load, the stand-ins and the entries' choices.
    pub seed: u64,
    /// Length of the part of the load that the figures count.
    pub duration: Duration,
    /// Number of entries, for models without a deployment.
    pub nodes: usize,
    /// Number of targets, for models without a deployment.
    pub targets: usize,
}

/// Result of a scenario.
#[derive(Debug, Clone, PartialEq)]
pub struct Outcome {
    /// Measured values as JSON.
    pub figures: Value,
    /// Description of the goal.
    pub target: String,
    /// Whether the figures reach the goal.
    pub pass: bool,
}

/// Function that runs a scenario.
type RunScenario = fn(&Context) -> Result<Outcome, BenchError>;

/// A named measurement.
#[derive(Debug)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Description for the list of scenarios.
    pub about: &'static str,
    /// Profile for which its goal is set; the default of a run.
    pub profile: Profile,
    run: RunScenario,
}

impl Scenario {
    /// Runs the scenario.
    ///
    /// # Errors
    /// [`BenchError`] if the run could not be completed.
    pub fn run(&self, cx: &Context) -> Result<Outcome, BenchError> {
        (self.run)(cx)
    }
}

/// Time before the window of the figures, in which queues, connections and latency estimates reach
/// a steady state.
const WARM_UP: Duration = Duration::from_secs(3);

/// Warm-up of loads above the throughput bound. Queues fill for up to 5.6 s, 8 times the deadline
/// of the first token, and answers that were admitted before that would improve the figures.
const OVERLOAD_WARM_UP: Duration = Duration::from_secs(8);

const fn scenario(
    name: &'static str,
    profile: Profile,
    run: RunScenario,
    about: &'static str,
) -> Scenario {
    Scenario {
        name,
        about,
        profile,
        run,
    }
}

/// All scenarios, in the order of the list.
pub const SCENARIOS: &[Scenario] = &[
    scenario(
        "throughput",
        Profile::Hyotan,
        steady::throughput,
        "share of the bound at saturation",
    ),
    scenario(
        "overhead",
        Profile::Hyotan,
        steady::overhead,
        "time added to direct calls of the engines at half load",
    ),
    scenario(
        "latency",
        Profile::Hyotan,
        steady::latency,
        "first token and gaps at 0.8 of the bound",
    ),
    scenario(
        "overload",
        Profile::Hyotan,
        steady::overload,
        "goodput at 2 and 5 times the bound",
    ),
    scenario(
        "fairness",
        Profile::Hyotan,
        steady::fairness,
        "a small account beside a large one at 10 times its load",
    ),
    scenario(
        "mixed-accelerators",
        Profile::Hyotan,
        steady::mixed_accelerators,
        "saturation with and without the accelerators' costs in the configuration",
    ),
    scenario(
        "stage-loss",
        Profile::Brandstatter,
        failures::stage_loss,
        "stalls when VMs with a stage die one after the other",
    ),
    scenario(
        "target-loss",
        Profile::Brandstatter,
        failures::target_loss,
        "stalls when engines die and their agents live",
    ),
    scenario(
        "engine-freeze",
        Profile::Brandstatter,
        failures::engine_freeze,
        "stalls when engines stop answering for 2.5 s",
    ),
    scenario(
        "zone-loss",
        Profile::Brandstatter,
        failures::zone_loss,
        "stalls when all targets of a zone die at once",
    ),
    scenario(
        "drain",
        Profile::Brandstatter,
        failures::drain,
        "work and cut streams of a leaving target",
    ),
    scenario(
        "slow-link",
        Profile::Brandstatter,
        network::slow_link,
        "gaps when the links of a zone become 100 times slower",
    ),
    scenario(
        "partition",
        Profile::Brandstatter,
        network::partition,
        "stalls when a zone loses contact with the others for 5 s",
    ),
    scenario(
        "entry-loss",
        Profile::Brandstatter,
        network::entry_loss,
        "streams of the other entries when one entry dies",
    ),
    scenario(
        "bookings",
        Profile::Brandstatter,
        services::bookings,
        "effects of bookings when answers are lost and a service VM dies",
    ),
    scenario(
        "shuffle",
        Profile::Hyotan,
        models::shuffle,
        "model of shuffle shards at 30 and 3,300 replicas",
    ),
    scenario(
        "control",
        Profile::Hyotan,
        models::control,
        "control traffic for `--nodes` entries and `--targets` agents",
    ),
];

impl Context {
    /// The window of loads below the throughput bound.
    fn window(&self) -> Window {
        Window {
            from: WARM_UP,
            to: WARM_UP + self.duration,
        }
    }

    /// The window of loads above the throughput bound.
    fn overload_window(&self) -> Window {
        Window {
            from: OVERLOAD_WARM_UP,
            to: OVERLOAD_WARM_UP + self.duration,
        }
    }

    /// Returns the profile's load on a deployment.
    fn load(&self, deployment: &Deployment, arrivals: Arrivals) -> Load {
        Load {
            endpoints: Endpoints::of(deployment),
            lengths: self.profile.request_lengths(),
            arrivals,
            window: self.window(),
            seed: self.seed,
        }
    }
}

/// Returns the maximum number of sequences in progress in a deployment, which is that of the layer
/// range with the fewest replicas.
fn slots(plan: &Plan) -> usize {
    let replicas = |first| {
        plan.engines
            .iter()
            .filter(|e| e.first_layer == first)
            .count()
    };
    let fewest = plan.engines.iter().map(|e| replicas(e.first_layer)).min();
    fewest.unwrap_or(0) * plan.concurrency as usize
}
