//! The operations endpoint of a process: metrics, health and readiness checks, and the operators'
//! API with its client.

pub mod api;
pub mod client;
pub mod handler;
pub mod server;

pub use api::{
    ConfigView, DrainReply, DrainRequest, ErrorBody, ExplainQuery, ExplainStep, Explanation,
    MemberStatus, NodeState, NodeStatus, Readiness,
};
pub use client::{ClientError, OperationsClient};
pub use handler::{OperationsError, OperationsHandler};
pub use server::{OperationsServer, OperationsServerBuilder};
