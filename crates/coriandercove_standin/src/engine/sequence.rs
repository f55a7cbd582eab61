//! KV state of one sequence.

use coriandercove_base::{Attempt, Layer, Position};
use coriandercove_target::oracle::{embed, run_layer};
use coriandercove_target::{CACHE_BLOCK, next_prefix_hash};

/// Number of positions between two checkpoints, which are copies of the states of all layers.
/// Truncation replays the inputs after a checkpoint, which needs a fraction of the memory of a copy
/// for each position.
const CHECKPOINT_INTERVAL: usize = 32;

/// Inputs of one sequence and the states of its layers after them. It can be truncated to any
/// earlier position.
#[derive(Debug, Clone)]
pub struct Sequence {
    /// Attempt that owns the sequence; later attempts at the request have higher numbers.
    pub epoch: Attempt,
    first: Layer,
    /// Layer after the last one.
    end: Layer,
    /// Inputs of all positions so far.
    inputs: Vec<u64>,
    /// State of each layer after all inputs.
    states: Vec<u64>,
    /// States before each position that is a multiple of [`CHECKPOINT_INTERVAL`].
    checkpoints: Vec<u64>,
    /// Prefix hash of each whole block of inputs.
    blocks: Vec<u64>,
}

impl Sequence {
    /// Creates an empty sequence over the layers `first..end`.
    #[must_use]
    pub fn new(epoch: Attempt, first: Layer, end: Layer) -> Self {
        Self {
            epoch,
            first,
            end,
            inputs: Vec::new(),
            states: vec![0; usize::from(end - first)],
            checkpoints: Vec::new(),
            blocks: Vec::new(),
        }
    }

    /// Returns the number of positions with state.
    #[must_use]
    pub const fn len(&self) -> Position {
        self.inputs.len() as Position
    }

    /// Whether no position has state.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.inputs.is_empty()
    }

    /// Returns the first layer that has state.
    #[must_use]
    pub const fn first_layer(&self) -> Layer {
        self.first
    }

    /// Returns the inputs of all positions so far.
    #[must_use]
    pub fn inputs(&self) -> &[u64] {
        &self.inputs
    }

    /// Returns the state of each layer after all inputs.
    #[must_use]
    pub fn states(&self) -> &[u64] {
        &self.states
    }

    /// Runs further inputs through all layers and returns the output of the last layer for each of
    /// them.
    pub fn extend(&mut self, inputs: &[u64]) -> Vec<u64> {
        inputs.iter().map(|x| self.push(*x)).collect()
    }

    /// Runs one input. Layer 0 gets tokens, which are embedded first; later layers get the outputs
    /// of the layer before.
    fn push(&mut self, input: u64) -> u64 {
        if self.inputs.len().is_multiple_of(CHECKPOINT_INTERVAL) {
            self.checkpoints.extend_from_slice(&self.states);
        }
        let mut x = match self.first {
            0 => embed(input, self.len()),
            _ => input,
        };
        for (layer, state) in (self.first..self.end).zip(&mut self.states) {
            x = run_layer(layer, x, state);
        }
        self.inputs.push(input);
        if self.inputs.len().is_multiple_of(CACHE_BLOCK) {
            let block = &self.inputs[self.inputs.len() - CACHE_BLOCK..];
            let before = self.blocks.last().copied().unwrap_or_default();
            self.blocks.push(next_prefix_hash(before, block));
        }
        x
    }

    /// Removes all positions from `position` on.
    pub fn truncate(&mut self, position: Position) {
        let position = position as usize;
        if position >= self.inputs.len() {
            return;
        }
        let layers = self.states.len();
        let checkpoint = position / CHECKPOINT_INTERVAL;
        let at = checkpoint * layers;
        self.states
            .copy_from_slice(&self.checkpoints[at..at + layers]);
        self.checkpoints.truncate(at);
        let replay = self.inputs[checkpoint * CHECKPOINT_INTERVAL..position].to_vec();
        self.inputs.truncate(checkpoint * CHECKPOINT_INTERVAL);
        self.blocks
            .truncate(checkpoint * CHECKPOINT_INTERVAL / CACHE_BLOCK);
        self.extend(&replay);
    }

    /// Returns the whole blocks that end after `position`: the index of the first one and the
    /// prefix hashes of all of them.
    #[must_use]
    pub fn blocks_ending_after(&self, position: Position) -> (usize, &[u64]) {
        let from = (position as usize / CACHE_BLOCK).min(self.blocks.len());
        (from, &self.blocks[from..])
    }

    /// Returns the first position of the block with the given index.
    #[must_use]
    pub const fn position_of_block(index: usize) -> Position {
        (index * CACHE_BLOCK) as Position
    }
}

#[cfg(test)]
mod tests;
