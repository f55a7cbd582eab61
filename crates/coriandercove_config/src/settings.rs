//! Settings of the processes, one YAML file for each.

mod agent;
mod common;
mod entry;

pub use agent::{AgentLimits, AgentSettings, TargetRole, TargetSettings};
pub use common::{CLUSTER_KEY_ENV, OPERATOR_TOKEN_ENV, Secrets};
pub use entry::{EntryLimits, EntrySettings};
