//! Calls to plain services and their answers.

use bytes::Bytes;
use coriandercove_base::http::HttpError;
use futures_util::future::LocalBoxFuture;
use snafu::Snafu;

/// An HTTP call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path and query, beginning with `/`.
    pub path: String,
    /// Headers to send, as names and values.
    pub headers: Vec<(String, String)>,
    /// Request body.
    pub body: Bytes,
    /// Time limit from the call to the end of the answer; `None` means the client's default.
    pub timeout: Option<std::time::Duration>,
}

/// Answer of a plain service, whatever its status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status, as the service sent it.
    pub status: u16,
    /// Headers as names and values; names are in lower case.
    pub headers: Vec<(String, String)>,
    /// Response body.
    pub body: Bytes,
}

/// Failure of a call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum ServiceError {
    /// Nothing was sent, so the call did not run.
    #[snafu(display("cannot connect to the service at {url}: {source}"))]
    Connect {
        /// Base URL of the service.
        url: String,
        /// Cause, as the HTTP client reported it.
        source: HttpError,
    },
    /// The call may have arrived, but no complete answer came, so it is unknown whether it ran.
    #[snafu(display("no answer from the service at {url}: {source}"))]
    Unknown {
        /// Base URL of the service.
        url: String,
        /// Cause, as the HTTP client reported it.
        source: HttpError,
    },
}

impl ServiceError {
    /// Whether the service may have received the call. False only if it certainly has not.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}

/// Client interface of a plain service.
pub trait Service {
    /// Makes one call. It is sent at most once, on a connection of its own: one in use again may have been
    /// closed unnoticed, so that it is unknown whether the call arrived, and an answer that the service
    /// writes there a second time would be taken for the next one.
    ///
    /// # Errors
    /// [`ServiceError`] if there was no complete answer; it states whether the call may have run.
    fn call(
        &self,
        call: ServiceCall,
    ) -> LocalBoxFuture<'static, Result<ServiceAnswer, ServiceError>>;
}
