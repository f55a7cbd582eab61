//! Routing, admission, retry and ejection decisions.
//!
//! Every type here is pure: events and the time go in, decisions come out.

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
