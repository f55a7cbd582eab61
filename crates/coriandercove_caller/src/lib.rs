//! The callers' HTTP protocol.
