//! The agent beside each target.
