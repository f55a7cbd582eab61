//! State machines for idempotency claims, configuration, membership, leases and placement.
//!
//! The state machines do no I/O and read no clock: they get events with the current time and
//! return actions, which the runtime carries out.
//!
//! An *entry* is a node that accepts requests from callers. An *agent* is a node that passes
//! requests to the target (a back end) beside it. All of them share the object store, see
//! [`store_call`].

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
