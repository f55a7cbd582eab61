//! The protocol between coriandercove's own processes.
