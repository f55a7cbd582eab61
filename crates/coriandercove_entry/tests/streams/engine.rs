//! A simulated engine, which computes the oracle's arithmetic and implements the epochs and the
//! truncation of the engine protocol.

use std::collections::HashMap;

use coriandercove_agent::stage::{Job, JobOutcome};
use coriandercove_base::{Attempt, Layer, Position, RequestId};
use coriandercove_target::ItemError;
use coriandercove_target::oracle::{embed, run_layer, sample};

use crate::runner::violation;

/// State of one request in the engine.
struct Sequence {
    /// Highest attempt that has run.
    epoch: Attempt,
    /// Layer whose inputs the sequence gets.
    first: Layer,
    /// Inputs by position.
    inputs: Vec<u64>,
    /// State of each layer after the last input.
    states: Vec<u64>,
}

/// An engine that runs the layers from `first` up to but not including `end`.
pub struct Engine {
    first: Layer,
    end: Layer,
    sequences: HashMap<RequestId, Sequence>,
    /// Number of jobs that will fail next.
    pub failing: u32,
    /// Whether the engine accepts calls without answering them.
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

    /// Runs a job, or refuses it as the engine protocol requires. An engine that was restarted or
    /// has freed a sequence has lost the sequence's epoch, so late calls of a dead agent can still
    /// run.
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
    /// Returns the error of the engine protocol if a job cannot run.
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
    /// Drops the inputs from a position on and recomputes the layer states.
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

    /// Runs all layers for the next input and returns the output.
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
