//! Stateful fuzz tests of the configuration log, membership and placement; see docs/testing.md.

#![expect(
    clippy::unwrap_used,
    reason = "a missing value in the model must fail the test"
)]

mod config;
#[cfg(feature = "faults")]
mod faults;
mod membership;
mod placement;
mod regressions;
mod runner;
