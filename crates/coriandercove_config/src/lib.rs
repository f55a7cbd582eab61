//! Questionnaire answers, the configuration generated from them, and process settings.
//!
//! A team fills in the questionnaire ([`answers`]). The cluster-wide configuration ([`config`]) and
//! the settings of each process ([`settings`]) are generated from it.

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
    Account, ClaimSettings, Config, KeyHash, LayerCompute, Limits, Link, NAME_FORM, Pipeline,
    Placement, Repeat, Rule, Service, Site, Target, TargetKind, Zone, is_name,
};
pub use objects::{Delta, Objects};
pub use problem::{Problem, Problems};
pub use secret::Secret;
pub use settings::{AgentSettings, EntrySettings};
