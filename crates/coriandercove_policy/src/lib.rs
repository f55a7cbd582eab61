//! Routing, admission, retry and ejection decisions.
//!
//! Every type here is pure: events and the time go in, decisions come out. An entry combines them
//! as follows.
//!
//! 1. [`admission::Admission`] decides whether a request is dispatched, waits or is refused.
//! 2. [`affinity::Affinity`] names the targets that are expected to hold the prompt's prefix.
//! 3. [`chain::Planner`] chooses the chain, or the single replica of a plain service, which is a
//!    model with one layer. Its state comes from membership and from [`health::Health`], its
//!    links from [`links::LinkEstimate`].
//! 4. [`retry::RetryPolicy`] decides what follows a failed attempt.
//! 5. [`explain`] holds the reasons of refusals and what operators are shown.

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
