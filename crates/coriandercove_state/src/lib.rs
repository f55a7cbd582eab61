//! State machines for claims, configuration, membership, leases and placement.

pub mod claim;
pub mod fault;
pub mod fence;
pub mod lease;
pub mod once;
pub mod store_call;
pub mod ticket;
