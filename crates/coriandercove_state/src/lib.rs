//! State machines for claims, configuration, membership, leases and placement.

pub mod config_log;
pub mod membership;
pub mod placement;
