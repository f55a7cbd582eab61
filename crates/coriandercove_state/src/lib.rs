//! State machines for claims, configuration, membership, leases and placement.

pub mod claim;
pub mod config_log;
pub mod fault;
pub mod fence;
pub mod lease;
pub mod membership;
pub mod once;
pub mod placement;
pub mod store_call;
pub mod ticket;
