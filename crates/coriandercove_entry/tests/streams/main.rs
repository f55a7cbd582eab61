//! Stateful fuzz test of streams: real entries (`core::Core`) and agents (`stage::Stages`) in a
//! simulated network, with random requests and failures. See docs/testing.md, section "Streams".
//!
//! Violations name the guarantee that they break:
//! - P1: the tokens are those that the model gives for the prompt, whatever fails meanwhile.
//! - P2: each caller gets the tokens of its own request, each once and in order, and one end.
//! - P3: a request that is refused as not run has not run and never will.
//! - P5: a leaving target gets no new work.
//! - P6: a leaving target or a failure does not end a stream that has started.

#[cfg(test)]
mod callers;
#[cfg(test)]
mod engine;
#[cfg(test)]
mod faults;
#[cfg(test)]
mod network;
#[cfg(test)]
mod nodes;
#[cfg(test)]
mod regressions;
#[cfg(test)]
mod runner;
#[cfg(test)]
mod simulation;
#[cfg(test)]
mod steps;
