//! Settings of the processes, from one YAML file for each, environment variables and flags.

mod agent;
mod args;
mod builder;
mod check;
mod common;
mod entry;
mod load;

pub use agent::{AgentLimits, AgentSettings, TargetSettings, TargetSettingsKind};
pub use args::{AgentArgs, CommonArgs, EntryArgs, Startup, process_env};
pub use builder::{AgentSettingsBuilder, EntrySettingsBuilder};
pub use common::{CLUSTER_KEY_ENV, DRAIN_DEADLINE, OPERATOR_TOKEN_ENV, Secrets};
pub use entry::{EntryLimits, EntrySettings};
pub use load::{AGENT_KEYS, ENTRY_KEYS, Loader, SettingKey};

/// Settings of an entry with all defaults and comments, written by `--print-defaults`.
pub const ENTRY_DEFAULTS: &str = include_str!("settings/entry.yaml");
/// Settings of an agent with all defaults and comments, written by `--print-defaults`.
pub const AGENT_DEFAULTS: &str = include_str!("settings/agent.yaml");

#[cfg(test)]
mod tests;
