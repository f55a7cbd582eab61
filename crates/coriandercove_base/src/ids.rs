//! Identifiers used between the parts, as type aliases.

use std::sync::Arc;

/// Name of a process of the system, unique in the deployment; comes from its settings.
pub type NodeId = Arc<str>;
/// Name of a target, unique in the deployment.
pub type TargetId = Arc<str>;
/// Name of a client account.
pub type AccountId = Arc<str>;
/// Name of a model.
pub type ModelId = Arc<str>;
/// Name of an availability zone.
pub type ZoneId = Arc<str>;
/// Identifies a request from the caller to the last stage.
pub type RequestId = u128;
/// Numbers the chains tried for one request, from 1.
pub type Attempt = u32;
/// Index of a token in its sequence, prompt included, from 0.
pub type Position = u32;
/// Index of a layer of a model, from 0.
pub type Layer = u16;
/// A token as the model numbers it.
pub type Token = u32;
/// Distinguishes the runs of one node. A higher value is a later run.
pub type Incarnation = u64;
/// Fencing number of an order; only a successful conditional write yields one.
pub type Fence = u64;
/// Version of the configuration, from 1. Zero means that none is known.
pub type ConfigVersion = u64;
/// Identifies one permission to run a call that must not repeat.
pub type TicketId = u128;

/// Formats a request id the way that callers and logs see it.
#[must_use]
pub fn format_request_id(req: RequestId) -> String {
    format!("{req:032x}")
}
