//! The agent, a process that runs beside each target. It executes the stages of streams on a model
//! engine, or the calls to a plain service, that entries send to it.

pub mod engine;
pub mod runtime;
pub mod stage;

pub use runtime::{Agent, AgentConfig, Backend};
