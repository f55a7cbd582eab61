//! Routing, admission, retry and ejection decisions.
//!
//! No type here does I/O or reads a clock: the caller passes in events and the time, and gets
//! decisions. An entry combines the types as follows.
//!
//! 1. [`admission::Admission`] decides whether a request is dispatched, queued or refused.
//! 2. [`affinity::Affinity`] names the targets that are expected to have the prompt's prefix
//!    cached.
//! 3. [`chain::Planner`] chooses the chain, or the single replica of a plain service, which is
//!    treated as a model with one layer. The states of its targets come from membership and from
//!    [`health::Health`], its link costs from [`links::LinkEstimate`].
//! 4. [`retry::RetryPolicy`] decides whether a failed attempt is retried.
//! 5. [`explain`] defines the refusal reasons and the explanations for operators.

pub mod admission;
pub mod affinity;
pub mod chain;
pub mod explain;
pub mod health;
pub mod links;
pub mod retry;
pub mod shuffle;

pub use explain::RefusalReason;
pub use retry::RetryReason;
