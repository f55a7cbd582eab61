//! An engine in memory: the arithmetic of the oracle, epochs and truncation.

use std::collections::HashMap;

use coriandercove_agent::stage::{Job, JobOutcome};
use coriandercove_base::{Attempt, Layer, Position, RequestId};
use coriandercove_target::ItemError;
use coriandercove_target::oracle::{embed, run_layer, sample};

use crate::runner::violation;

struct Sequence {
    epoch: Attempt,
    /// Layer that inputs enter.
    first: Layer,
    inputs: Vec<u64>,
    states: Vec<u64>,
}

pub struct Engine {
    first: Layer,
    end: Layer,
    sequences: HashMap<RequestId, Sequence>,
    /// Items that fail from now on.
    pub failing: u32,
    /// A frozen engine accepts calls and does not answer.
    pub frozen: bool,
}

impl Engine {
    pub fn new(first: Layer, end: Layer) -> Self {
        Self {
            first,
            end,
            sequences: HashMap::new(),
            failing: 0,
            frozen: false,
        }
    }

    pub fn lose_state(&mut self) {
        self.sequences.clear();
    }

    pub fn cancel(&mut self, req: RequestId) {
        self.sequences.remove(&req);
    }

    /// Runs a job, or refuses it as the engine protocol says. An engine that was restarted or that
    /// has freed a sequence no longer knows its epoch, so calls of a dead agent can still run.
    pub fn run(&mut self, job: &Job) -> JobOutcome {
        if !(self.first..self.end).contains(&job.first_layer) {
            violation("P1: inputs enter a layer that the engine does not hold");
        }
        if self.failing > 0 {
            self.failing -= 1;
            return JobOutcome::Refused(ItemError::Failed);
        }
        let (layers, req) = (usize::from(self.end - job.first_layer), job.req);
        if let Err(error) = self.check(job) {
            return JobOutcome::Refused(error);
        }
        let seq = self.sequences.entry(req).or_insert_with(|| Sequence {
            epoch: job.attempt,
            first: job.first_layer,
            inputs: Vec::new(),
            states: vec![0; layers],
        });
        seq.epoch = job.attempt;
        seq.truncate(job.position);
        let outputs: Vec<u64> = job.inputs.iter().map(|x| seq.push(*x)).collect();
        let last = outputs.last().copied().unwrap_or_default();
        let token = job.sample.then(|| sample(last));
        JobOutcome::Done { outputs, token }
    }
}

impl Engine {
    fn check(&self, job: &Job) -> Result<(), ItemError> {
        let seq = self.sequences.get(&job.req);
        let expected = seq.map_or(0, |s| s.inputs.len() as Position);
        if let Some(seq) = seq {
            if job.first_layer != seq.first {
                return Err(ItemError::LayerNotHeld);
            }
            if job.attempt < seq.epoch {
                return Err(ItemError::StaleEpoch);
            }
            if job.attempt == seq.epoch && job.position < expected {
                return Err(ItemError::PositionRepeat { expected });
            }
        }
        if job.position > expected {
            return Err(ItemError::PositionGap { expected });
        }
        Ok(())
    }
}

impl Sequence {
    fn truncate(&mut self, position: Position) {
        if position as usize >= self.inputs.len() {
            return;
        }
        let kept: Vec<u64> = self.inputs[..position as usize].to_vec();
        self.inputs.clear();
        self.states.fill(0);
        for x in kept {
            self.push(x);
        }
    }

    fn push(&mut self, input: u64) -> u64 {
        let mut x = match self.first {
            0 => embed(input, self.inputs.len() as Position),
            _ => input,
        };
        for (layer, state) in (self.first..).zip(&mut self.states) {
            x = run_layer(layer, x, state);
        }
        self.inputs.push(input);
        x
    }
}
