//! Stateful fuzzing of claims, once-calls, leases and fencing; see docs/testing.md.

mod calls;
mod calls_world;
mod faults;
mod leases;
mod runner;
mod shards;
mod store;
