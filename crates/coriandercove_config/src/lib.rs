//! Answers, generated configuration and process settings.

pub mod answers;
pub mod config;
pub mod diff;
pub mod duration;
pub mod keys;
pub mod objects;
pub mod problem;
pub mod secret;
pub mod settings;
pub mod url;
pub mod yaml;

pub use config::{
    Account, Claims, Config, KeyHash, LayerCompute, Limits, Link, NAME_FORM, Pipeline, Placement,
    Repeat, Rule, Service, Site, Target, TargetKind, Zone, is_name,
};
pub use objects::{Delta, Objects};
pub use problem::{Problem, Problems};
pub use secret::Secret;
pub use settings::{AgentSettings, EntrySettings};
