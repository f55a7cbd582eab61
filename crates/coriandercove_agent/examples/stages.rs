//! Measures the time and memory that the agent's stages need for growing numbers of streams. Prints
//! one JSON line for each figure.

#[path = "../../coriandercove_state/examples/measure/mod.rs"]
mod measure;

use coriandercove_agent::stage::{JobOutcome, StageAction, StageLimits, Stages};
use coriandercove_base::Time;
use coriandercove_peer::frame::loopback;
use coriandercove_peer::{Activation, Feed, Hop, OpenStage};
use std::time::Duration;

/// Numbers of open streams; a replica of the planned size has at most a few hundred.
const STREAM_COUNTS: [u32; 4] = [250, 500, 1_000, 2_000];
/// Tokens of each prompt.
const PROMPT_TOKENS: u32 = 300;
/// Number of tokens that each stream generates.
const STEPS: u32 = 200;
const NOW: Time = Duration::from_secs(1);

fn open(i: u32) -> OpenStage {
    let hop = |n: u16| Hop {
        agent: loopback(&format!("agent-{n}"), 7_400 + n),
        first_layer: n * 20,
        end_layer: n * 20 + 20,
        held: 0,
    };
    OpenStage {
        req: u128::from(i) + 1,
        attempt: 1,
        entry: loopback("entry-1", 7_000),
        chain: (0..4).map(hop).collect(),
        stage: 0,
        end_position: 8_000,
        priority: 0,
        deadline: Duration::from_secs(600),
    }
}

/// Answers jobs in place of the engine until there are none; returns their number.
fn run_jobs(stages: &mut Stages) -> u32 {
    let mut ran = 0;
    loop {
        let actions = stages.take_actions();
        let mut idle = true;
        for action in actions {
            if let StageAction::Run(job) = action {
                idle = false;
                ran += 1;
                let outputs = vec![5; job.inputs.len()];
                let outcome = JobOutcome::Done {
                    outputs,
                    token: None,
                };
                stages.job_done(job.req, job.attempt, job.position, outcome);
            }
        }
        if idle {
            return ran;
        }
    }
}

fn start(stages: &mut Stages, i: u32) {
    let open = open(i);
    let req = open.req;
    stages.open(Duration::ZERO, open);
    stages.credit(req, 1, 8_000);
    stages.feed(&Feed {
        req,
        attempt: 1,
        position: 0,
        tokens: vec![7; PROMPT_TOKENS as usize],
    });
    run_jobs(stages);
}

fn step(stages: &mut Stages, i: u32, position: u32) -> u32 {
    stages.activation(Activation {
        req: u128::from(i) + 1,
        attempt: 1,
        position,
        next_layer: 0,
        items: vec![9],
        sample: true,
    });
    run_jobs(stages)
}

fn main() {
    let names = [
        "stage_open_and_prefill",
        "stage_step",
        "stage_memory",
        "stage_tick",
    ];
    let mut points = [const { Vec::new() }; 4];
    for open in STREAM_COUNTS {
        let n = f64::from(open);
        let before = measure::allocated();
        let mut stages = Stages::new(StageLimits::default());
        let (us, ()) = measure::micros_of(|| (0..open).for_each(|i| start(&mut stages, i)));
        points[0].push((n, us / n));
        let (us, ran) = measure::micros_of(|| {
            (0..STEPS)
                .flat_map(|k| (0..open).map(move |i| (k, i)))
                .map(|(k, i)| step(&mut stages, i, PROMPT_TOKENS + k))
                .sum::<u32>()
        });
        assert_eq!(ran, STEPS * open, "each step ran");
        points[1].push((n, us / f64::from(ran)));
        points[2].push((n, measure::allocated() - before));
        points[3].push((n, measure::micros_per_call(|| stages.tick(NOW))));
    }
    for (i, name) in names.iter().enumerate() {
        let unit = if i == 2 { "bytes" } else { "us" };
        measure::print(name, "streams", unit, 0, &measure::fit(&points[i]));
    }
}
