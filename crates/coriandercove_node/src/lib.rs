//! Runtime components that the entry and the agent share: they connect the state machines of
//! `coriandercove_state` to sockets, links, timers and the object store.

pub mod config;
pub mod datagrams;
pub mod membership;
pub mod process;
pub mod store;

pub use config::ConfigRunner;
pub use datagrams::Datagrams;
pub use membership::{MembershipMachine, MembershipRunner};
