//! Client of the operators' API, for the command line.

use std::time::Duration;

use awc::Client;
use awc::error::SendRequestError;
use coriandercove_config::Secret;
use serde::Serialize;
use serde::de::DeserializeOwned;
use snafu::Snafu;

use crate::api::{
    ConfigView, DrainReply, DrainRequest, ErrorBody, ExplainQuery, Explanation, NodeStatus,
    Readiness,
};

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest body of an answer, in bytes. The largest is the configuration, which is planned for
/// about 20,000 objects.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ClientError {
    /// No connection could be made, or no complete answer arrived.
    #[snafu(display("cannot reach {url}: {message}"))]
    Unreachable {
        /// URL of the call.
        url: String,
        /// Description of the cause.
        message: String,
    },
    /// The process refused the call.
    #[snafu(display("{url} answered status {status}: {message}"))]
    Refused {
        /// URL of the call.
        url: String,
        /// HTTP status.
        status: u16,
        /// Error text of the answer, or the start of its body if it is not an [`ErrorBody`].
        message: String,
    },
    /// The answer could not be decoded, or the query could not be encoded.
    #[snafu(display("the answer of {url} is invalid: {message}"))]
    InvalidAnswer {
        /// URL of the call.
        url: String,
        /// Description of the cause.
        message: String,
    },
}

/// Client of the operations endpoint of one process.
pub struct OperationsClient {
    base: String,
    token: Secret,
    http: Client,
}

impl OperationsClient {
    /// Creates a client for the process at `base`, such as `http://10.0.0.5:7401`.
    #[must_use]
    pub fn new(base: &str, token: Secret) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            token,
            http: Client::builder().timeout(CALL_TIMEOUT).finish(),
        }
    }

    /// Reads the status of the process.
    ///
    /// # Errors
    /// Returns [`ClientError`] if there was no valid answer.
    pub async fn status(&self) -> Result<NodeStatus, ClientError> {
        self.get("/status", &()).await
    }

    /// Reads the configuration in force at the process.
    ///
    /// # Errors
    /// Returns [`ClientError`] if there was no valid answer.
    pub async fn config(&self) -> Result<ConfigView, ClientError> {
        self.get("/config", &()).await
    }

    /// Asks how a request would be or was handled.
    ///
    /// # Errors
    /// Returns [`ClientError`] if there was no valid answer.
    pub async fn explain(&self, query: &ExplainQuery) -> Result<Explanation, ClientError> {
        self.get("/explain", query).await
    }

    /// Asks whether the process accepts new work. A process that does not answers with status 503,
    /// which is not an error here.
    ///
    /// # Errors
    /// Returns [`ClientError`] if there was no valid answer.
    pub async fn readiness(&self) -> Result<Readiness, ClientError> {
        let url = self.url("/readyz");
        let (_, body) = send(&url, self.http.get(&url).send()).await?;
        decode(&url, &body)
    }

    /// Reads the metrics of the process in the OpenMetrics text format.
    ///
    /// # Errors
    /// Returns [`ClientError`] if there was no valid answer.
    pub async fn metrics(&self) -> Result<String, ClientError> {
        let url = self.url("/metrics");
        let body = require_success(&url, send(&url, self.http.get(&url).send()).await?)?;
        String::from_utf8(body.to_vec()).map_err(|e| answer_error(&url, &e))
    }

    /// Requests that the process drains and stops.
    ///
    /// # Errors
    /// Returns [`ClientError`] if there was no valid answer.
    pub async fn drain(&self, req: &DrainRequest) -> Result<DrainReply, ClientError> {
        let url = self.url("/drain");
        let call = self.http.post(&url).bearer_auth(self.token.expose());
        let body = require_success(&url, send(&url, call.send_json(req)).await?)?;
        decode(&url, &body)
    }

    async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
        query: &impl Serialize,
    ) -> Result<T, ClientError> {
        let url = self.url(path);
        let call = self
            .http
            .get(&url)
            .bearer_auth(self.token.expose())
            .query(query)
            .map_err(|e| answer_error(&url, &e))?;
        let body = require_success(&url, send(&url, call.send()).await?)?;
        decode(&url, &body)
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.base)
    }
}

type Answer = (u16, bytes::Bytes);

async fn send(url: &str, call: awc::SendClientRequest) -> Result<Answer, ClientError> {
    let unreachable = |message: String| ClientError::Unreachable {
        url: url.to_owned(),
        message,
    };
    let mut response = call
        .await
        .map_err(|e: SendRequestError| unreachable(e.to_string()))?;
    let body = response
        .body()
        .limit(MAX_BODY_BYTES)
        .await
        .map_err(|e| unreachable(e.to_string()))?;
    Ok((response.status().as_u16(), body))
}

/// Returns the body of an answer with a 2xx status; any other status is an error.
fn require_success(url: &str, (status, body): Answer) -> Result<bytes::Bytes, ClientError> {
    if (200..300).contains(&status) {
        return Ok(body);
    }
    let message = serde_json::from_slice::<ErrorBody>(&body).map_or_else(
        |_| String::from_utf8_lossy(&body).chars().take(200).collect(),
        |e| e.error,
    );
    Err(ClientError::Refused {
        url: url.to_owned(),
        status,
        message,
    })
}

fn decode<T: DeserializeOwned>(url: &str, body: &[u8]) -> Result<T, ClientError> {
    serde_json::from_slice(body).map_err(|e| answer_error(url, &e))
}

fn answer_error(url: &str, e: &dyn std::error::Error) -> ClientError {
    ClientError::InvalidAnswer {
        url: url.to_owned(),
        message: e.to_string(),
    }
}
