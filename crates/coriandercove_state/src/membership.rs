//! Cluster membership: the known entries and agents, with their liveness and load.
//!
//! Members send heartbeats to a few entries that observe them. Entries detect failures from missing
//! heartbeats and spread what they learn to each other by gossip.

mod agent;
mod budget;
mod cost;
mod detector;
mod entry;
mod event;
mod faults;
mod gossip;
mod heartbeat;
mod message;
mod observers;
mod record;
mod settings;
mod table;

pub use agent::AgentMembership;
pub use cost::{ControlCost, RegionCost, control_cost};
pub use entry::EntryMembership;
pub use event::{MemberEvent, MembershipAction, MembershipCounters, MembershipEvent, VmListed};
#[cfg(feature = "faults")]
pub use faults::MembershipFault;
pub use message::{Ack, Digest, Heartbeat, LoadRecord, Message, Query, StateRecord};
pub use record::{
    Liveness, LoadReport, MemberInfo, MemberKey, MemberRecord, Role, State, member_key,
};
pub use settings::MembershipSettings;

#[cfg(test)]
mod tests;
