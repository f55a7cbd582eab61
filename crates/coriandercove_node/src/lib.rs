//! Runtime parts that entry and agent share.

pub mod store;
