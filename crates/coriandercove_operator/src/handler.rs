//! The interface between the operations endpoint and the process that it serves.

use futures_util::future::LocalBoxFuture;
use snafu::Snafu;

use crate::api::{
    ConfigView, DrainReply, DrainRequest, ExplainQuery, Explanation, NodeStatus, Readiness,
};

/// Why a call of the operators' API failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum OperationsError {
    /// The process has not reached the state that the call needs; status 503.
    #[snafu(display("not available yet: {message}"))]
    NotReady {
        /// What the process does not have yet.
        message: String,
    },
    /// The call names something that does not exist; status 404.
    #[snafu(display("not found: {message}"))]
    NotFound {
        /// What does not exist, and which values do.
        message: String,
    },
    /// The call is malformed; status 400.
    #[snafu(display("{message}"))]
    Invalid {
        /// Where the problem is, what it is, and what is allowed.
        message: String,
    },
}

impl OperationsError {
    /// Returns the HTTP status of the error.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self {
            Self::NotReady { .. } => 503,
            Self::NotFound { .. } => 404,
            Self::Invalid { .. } => 400,
        }
    }
}

/// Answers the calls of the operations endpoint; implemented by the entry and by the agent.
///
/// The methods are called on the runtime thread and must not block.
pub trait OperationsHandler {
    /// Returns all metrics in the OpenMetrics text format.
    fn metrics(&self) -> String;

    /// Returns whether the process accepts new work.
    fn readiness(&self) -> Readiness;

    /// Returns the status of the process and its view of the other processes.
    fn status(&self) -> NodeStatus;

    /// Returns the configuration in force.
    ///
    /// # Errors
    /// Returns [`OperationsError::NotReady`] if no version is known yet.
    fn config(&self) -> Result<ConfigView, OperationsError>;

    /// Explains how a request would be or was handled. The query has passed
    /// [`ExplainQuery::check`].
    ///
    /// # Errors
    /// Returns [`OperationsError`] if the query names something that does not exist.
    fn explain(&self, query: ExplainQuery) -> Result<Explanation, OperationsError>;

    /// Starts to drain the process. Further calls do not restart the deadline; they report
    /// progress.
    fn drain(
        &self,
        req: DrainRequest,
    ) -> LocalBoxFuture<'static, Result<DrainReply, OperationsError>>;
}
