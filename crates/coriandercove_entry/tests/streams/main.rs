//! Stateful fuzzing of the data path; see docs/testing.md, section "Streams".
#[cfg(test)]
mod callers;
#[cfg(test)]
mod engine;
#[cfg(test)]
mod faults;
#[cfg(test)]
mod net;
#[cfg(test)]
mod nodes;
#[cfg(test)]
mod regressions;
#[cfg(test)]
mod runner;
#[cfg(test)]
mod steps;
#[cfg(test)]
mod world;
