//! Arithmetic of the stand-in model, which stand-in engines run in place of a real one. Tests
//! compute the expected answer with [`generate`]. If a layer is skipped, run twice, run out of
//! order or run with the state of another sequence, every later token changes, so that the fault
//! shows.

use coriandercove_base::hash::mix64;
use coriandercove_base::{Layer, Position, Token};

/// Number of tokens in the vocabulary.
pub const VOCABULARY: u32 = 32_000;
/// Token that ends an answer. The stand-in model never samples it.
pub const END_OF_SEQUENCE: Token = 0;

/// Activation that enters layer 0 for a token at a position.
#[must_use]
pub const fn embed(token: u64, position: Position) -> u64 {
    mix64(token.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ mix64(position as u64 + 1))
}

/// Runs one layer on the activation `x`, returns its output and updates `state`, the layer's state
/// for the sequence after all earlier positions.
pub const fn run_layer(layer: Layer, x: u64, state: &mut u64) -> u64 {
    let out = mix64(x ^ *state ^ mix64(layer as u64 + 1));
    *state = mix64((*state).wrapping_add(out));
    out
}

/// Next token for the output `x` of the last layer. Never [`END_OF_SEQUENCE`].
#[must_use]
pub const fn sample(x: u64) -> Token {
    (x % (VOCABULARY as u64 - 1)) as Token + 1
}

/// Expected answer to `prompt` of a model with `layers` layers; always `max_tokens` tokens long.
#[must_use]
pub fn generate(prompt: &[Token], layers: Layer, max_tokens: usize) -> Vec<Token> {
    let mut states = vec![0; usize::from(layers)];
    let mut out: Vec<Token> = Vec::with_capacity(max_tokens);
    let mut inputs: Vec<Token> = prompt.to_vec();
    let mut position = 0;
    while out.len() < max_tokens {
        let mut x = 0;
        for token in inputs.drain(..) {
            x = embed(u64::from(token), position);
            for (layer, state) in (0..layers).zip(&mut states) {
                x = run_layer(layer, x, state);
            }
            position += 1;
        }
        out.push(sample(x));
        inputs.push(sample(x));
    }
    out
}
