//! The agent beside each target.

pub mod engine;
pub mod runtime;
pub mod stage;

pub use runtime::{Agent, AgentConfig, Backend};
