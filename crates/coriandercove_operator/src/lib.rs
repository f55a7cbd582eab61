//! The operations endpoint: metrics, health, status and the operators' API.
