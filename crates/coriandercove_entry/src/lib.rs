//! The entry: the front door for callers.

pub mod core;
pub mod http;
pub mod runtime;
pub mod view;

pub use runtime::{Entry, EntryConfig};
pub use view::ConfigView;
