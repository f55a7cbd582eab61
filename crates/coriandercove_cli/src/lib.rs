//! The `coriandercove` command-line tool, with which operators configure and run a deployment.

pub mod args;
mod commands;
pub mod config_log;
pub mod dev;
pub mod error;
pub mod output;
pub mod prompt;

pub use commands::run;
