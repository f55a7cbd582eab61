//! Stand-ins for the platform's object store and VM list, for engines and for plain services.
//!
//! Each stand-in runs either on a thread of its own inside any process, or as a separate process
//! with the program `coriandercove-standin`. Inside a process, a handle gives access to the address
//! of the stand-in, injects faults and stops it.

pub mod engine;
pub mod faults;
pub mod programs;
pub mod server;
pub mod service;
pub mod store;
pub mod vm_list;
