//! State machines for claims, configuration, membership, leases and placement.
