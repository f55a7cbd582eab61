//! Cases that fuzz runs have found, or that they reach too rarely.
