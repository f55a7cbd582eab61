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

/// Time for one call.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Largest answer in bytes. A configuration of the planned size has about 20,000 objects.
const BODY_BYTES: usize = 64 * 1024 * 1024;

/// Why a call failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum ClientError {
    /// No connection, or no whole answer.
    #[snafu(display("cannot reach {url}: {message}"))]
    Unreachable {
        /// Address of the call.
        url: String,
        /// Text of the cause.
        message: String,
    },
    /// The process refused the call.
    #[snafu(display("{url} answered status {status}: {message}"))]
    Refused {
        /// Address of the call.
        url: String,
        /// HTTP status.
        status: u16,
        /// Text of the answer.
        message: String,
    },
    /// The answer could not be read.
    #[snafu(display("the answer of {url} is invalid: {message}"))]
    Answer {
        /// Address of the call.
        url: String,
        /// Text of the cause.
        message: String,
    },
}

/// Calls the operations endpoint of one process.
pub struct OperationsClient {
    base: String,
    token: Secret,
    http: Client,
}

impl OperationsClient {
    /// A client for the process at `base`, such as `http://10.0.0.5:7401`.
    #[must_use]
    pub fn new(base: &str, token: Secret) -> Self {
        Self {
            base: base.trim_end_matches('/').to_owned(),
            token,
            http: Client::builder().timeout(TIMEOUT).finish(),
        }
    }

    /// Status of the process.
    ///
    /// # Errors
    /// [`ClientError`] if there was no valid answer.
    pub async fn status(&self) -> Result<NodeStatus, ClientError> {
        self.get("/status", &()).await
    }

    /// The configuration in force at the process.
    ///
    /// # Errors
    /// [`ClientError`] if there was no valid answer.
    pub async fn config(&self) -> Result<ConfigView, ClientError> {
        self.get("/config", &()).await
    }

    /// How a request is or was handled.
    ///
    /// # Errors
    /// [`ClientError`] if there was no valid answer.
    pub async fn explain(&self, query: &ExplainQuery) -> Result<Explanation, ClientError> {
        self.get("/explain", query).await
    }

    /// Whether the process takes work.
    ///
    /// # Errors
    /// [`ClientError`] if there was no valid answer.
    pub async fn readiness(&self) -> Result<Readiness, ClientError> {
        let url = self.url("/readyz");
        let (_, body) = send(&url, self.http.get(&url).send()).await?;
        decode(&url, &body)
    }

    /// The metrics of the process as text.
    ///
    /// # Errors
    /// [`ClientError`] if there was no valid answer.
    pub async fn metrics(&self) -> Result<String, ClientError> {
        let url = self.url("/metrics");
        let body = accept(&url, send(&url, self.http.get(&url).send()).await?)?;
        String::from_utf8(body.to_vec()).map_err(|e| answer_error(&url, &e))
    }

    /// Tells the process to leave.
    ///
    /// # Errors
    /// [`ClientError`] if there was no valid answer.
    pub async fn drain(&self, req: &DrainRequest) -> Result<DrainReply, ClientError> {
        let url = self.url("/drain");
        let call = self.http.post(&url).bearer_auth(self.token.expose());
        let body = accept(&url, send(&url, call.send_json(req)).await?)?;
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
        let body = accept(&url, send(&url, call.send()).await?)?;
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
        .limit(BODY_BYTES)
        .await
        .map_err(|e| unreachable(e.to_string()))?;
    Ok((response.status().as_u16(), body))
}

fn accept(url: &str, (status, body): Answer) -> Result<bytes::Bytes, ClientError> {
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
    ClientError::Answer {
        url: url.to_owned(),
        message: e.to_string(),
    }
}
