//! Tests of the typed configuration.
