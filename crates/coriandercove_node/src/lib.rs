//! Runtime parts that entry and agent share.

pub mod config;
pub mod datagrams;
pub mod members;
pub mod process;
pub mod store;

pub use config::ConfigRunner;
pub use datagrams::Datagrams;
pub use members::{Machine, Members};
