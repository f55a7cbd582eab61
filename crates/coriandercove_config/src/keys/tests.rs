//! Tests of account keys.
