//! Stand-ins for the platform, engines and plain services.
//!
//! Each stand-in runs on a thread of its own inside any process, and as a process of its own through
//! the program `coriandercove-standin`. A handle gives its address, its faults and its end.

pub mod engine;
pub mod faults;
pub mod programs;
pub mod server;
pub mod service;
pub mod store;
pub mod vm_list;
