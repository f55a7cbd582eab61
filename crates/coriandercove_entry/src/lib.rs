//! The entry: the front door for callers.
