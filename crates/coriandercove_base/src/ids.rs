//! Type aliases of the identifiers that crates and messages share.

use std::sync::Arc;

/// Name of a process, unique in the deployment; set in the process's settings.
pub type NodeId = Arc<str>;
/// Name of a target (a back end), unique in the deployment.
pub type TargetId = Arc<str>;
/// Name of a client account.
pub type AccountId = Arc<str>;
/// Name of a model.
pub type ModelId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Id of a request, the same from the caller to the last stage.
pub type RequestId = u128;
/// Number of an attempt at a request, from 1. Each attempt uses its own chain.
pub type Attempt = u32;
/// Index of a token in its sequence, including the prompt, from 0.
pub type Position = u32;
/// Index of a layer of a model, from 0.
pub type Layer = u16;
/// Id of a token in the vocabulary of its model.
pub type Token = u32;
/// Number of a run of one node. A later run has a higher value.
pub type Incarnation = u64;
/// Fencing token of an order. A new one is obtained only by a successful conditional write.
pub type Fence = u64;
/// Version of the configuration, from 1; 0 if none is known.
pub type ConfigVersion = u64;
/// Id of a permission to run, once, a call that must not be repeated.
pub type TicketId = u128;

/// Formats a request id for callers and logs, as 32 hexadecimal digits.
#[must_use]
pub fn format_request_id(req: RequestId) -> String {
    format!("{req:032x}")
}
