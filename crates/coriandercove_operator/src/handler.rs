//! What a process implements to be operated.

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
        /// What is missing.
        message: String,
    },
    /// The call names something that does not exist; status 404.
    #[snafu(display("not found: {message}"))]
    NotFound {
        /// What does not exist, and what does.
        message: String,
    },
    /// The call is malformed; status 400.
    #[snafu(display("{message}"))]
    Invalid {
        /// Place, problem and what is allowed.
        message: String,
    },
}

impl OperationsError {
    /// HTTP status of the error.
    #[must_use]
    pub const fn status(&self) -> u16 {
        match self {
            Self::NotReady { .. } => 503,
            Self::NotFound { .. } => 404,
            Self::Invalid { .. } => 400,
        }
    }
}

/// The part of an entry or agent that the operations endpoint asks.
///
/// All calls run on the thread of the runtime and must not block.
pub trait OperationsHandler {
    /// All metrics in the OpenMetrics text format.
    fn metrics(&self) -> String;

    /// Whether the process takes new work.
    fn readiness(&self) -> Readiness;

    /// Status of the process and what it knows of the others.
    fn status(&self) -> NodeStatus;

    /// The configuration in force.
    ///
    /// # Errors
    /// [`OperationsError::NotReady`] if no version is known yet.
    fn config(&self) -> Result<ConfigView, OperationsError>;

    /// How a request is or was handled. The query has passed [`ExplainQuery::check`].
    ///
    /// # Errors
    /// [`OperationsError`] if the query names something that does not exist.
    fn explain(&self, query: ExplainQuery) -> Result<Explanation, OperationsError>;

    /// Starts to leave. Further calls do not restart the deadline; they report the progress.
    fn drain(
        &self,
        req: DrainRequest,
    ) -> LocalBoxFuture<'static, Result<DrainReply, OperationsError>>;
}
