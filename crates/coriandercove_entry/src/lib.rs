//! The entry: accepts HTTP requests of callers and runs them on targets through the agents.
//!
//! [`http`] parses requests and writes responses, [`core`] decides about streams without doing any
//! I/O, and [`runtime`] connects both with the links to agents and other entries.

pub mod active_config;
pub mod core;
pub mod http;
pub mod runtime;

pub use active_config::ActiveConfig;
pub use runtime::{Entry, EntryConfig};
