//! The protocol of plain services.

use bytes::Bytes;
use coriandercove_base::http::HttpError;
use futures_util::future::LocalBoxFuture;
use snafu::Snafu;

/// A call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceCall {
    /// HTTP method.
    pub method: String,
    /// Path and query, beginning with `/`.
    pub path: String,
    /// Headers to pass on.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// Whether the call must not repeat. Such a call gets a connection of its own.
    pub once: bool,
    /// Time allowed until the whole answer has arrived; `None` means the client's default.
    pub timeout: Option<std::time::Duration>,
}

/// Answer of a plain service, of any status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

/// Failure of a call to a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum ServiceError {
    /// Nothing was sent, so the call did not run.
    #[snafu(display("cannot connect to the service at {url}: {source}"))]
    Connect {
        /// Address of the service.
        url: String,
        /// The cause.
        source: HttpError,
    },
    /// The request may have arrived and no whole answer came, so the outcome is unknown.
    #[snafu(display("no answer from the service at {url}: {source}"))]
    Unknown {
        /// Address of the service.
        url: String,
        /// The cause.
        source: HttpError,
    },
}

impl ServiceError {
    /// Whether the service may have received the call. False only if it surely has not.
    #[must_use]
    pub const fn may_have_run(&self) -> bool {
        matches!(self, Self::Unknown { .. })
    }
}

/// A plain service as an agent uses it.
pub trait Service {
    /// Makes one call. It is sent once at the most.
    ///
    /// # Errors
    /// [`ServiceError`], which tells whether the call may have run.
    fn call(
        &self,
        call: ServiceCall,
    ) -> LocalBoxFuture<'static, Result<ServiceAnswer, ServiceError>>;
}
