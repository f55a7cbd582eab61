//! A deployment of entries, agents and stand-ins in one process on loopback, for development, tests
//! and measurements.
//!
//! Each entry and each agent is a role that runs on a thread of its own, with the same code as the
//! separate programs.

mod deployment;
mod entry;
mod network;
mod plan;
mod role;
mod target_vm;
mod tuning;

pub use deployment::{Deployment, DeploymentError};
pub use entry::EntryRole;
pub use network::{Network, ZoneLink};
pub use plan::{EnginePlan, Plan};
pub use role::{RoleError, RoleThread};
pub use target_vm::{Standin, TargetVm};
pub use tuning::EngineTuning;
