//! An HTTP client for peer packages. Its calls are bounded in time and size, and its errors tell
//! whether the peer may have received the request.

mod stream;

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use awc::body::SizedStream;
use awc::error::{ConnectError, SendRequestError};
use awc::http::{Method, StatusCode, header};
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use snafu::Snafu;

use self::stream::StrictConnector;
use crate::body_buf::{BodyBuf, DoesNotFit};
use crate::byte_budget::{ByteBudget, accounted};

/// Limits of a client's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Timeout of connecting. Shorter than `timeout`, so that an unreachable peer yields
    /// [`HttpError::Connect`] and not [`HttpError::Timeout`].
    pub connect_timeout: Duration,
    /// Timeout from the start of the call to the end of the response, unless the call sets its own.
    pub timeout: Duration,
    /// Maximum size of a response body, in bytes.
    pub max_body: usize,
    /// Maximum number of open connections to all peers together, which applies separately to pooled
    /// and to fresh connections. Further calls wait for a connection until they time out.
    pub connections: usize,
}

impl Default for HttpLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(500),
            timeout: Duration::from_secs(10),
            max_body: 16 << 20,
            connections: 256,
        }
    }
}

/// A request to send.
#[derive(Debug, Clone)]
pub struct HttpCall {
    /// Method, such as `GET`.
    pub method: String,
    /// Complete URL, with scheme, host and path.
    pub url: String,
    /// Request headers, as (name, value).
    pub headers: Vec<(String, String)>,
    /// Request body; may be empty.
    pub body: Bytes,
    /// Timeout from the start of the call to the end of the response; `None` for that of
    /// [`HttpLimits`].
    pub timeout: Option<Duration>,
    /// Whether to open a new connection for the call. The peer may have closed a pooled connection
    /// without the client noticing, and then it is unknown whether the request arrived.
    pub fresh_connection: bool,
}

impl HttpCall {
    /// Creates a call without headers and body that uses a pooled connection.
    #[must_use]
    pub fn new(method: &str, url: String) -> Self {
        Self {
            method: method.to_owned(),
            url,
            headers: Vec::new(),
            body: Bytes::new(),
            timeout: None,
            fresh_connection: false,
        }
    }

    /// Sets the request body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a request header.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Sets the timeout from the start of the call to the end of the response.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = Some(timeout);
        self
    }

    /// Opens a new connection for the call.
    #[must_use]
    pub const fn fresh_connection(mut self) -> Self {
        self.fresh_connection = true;
        self
    }
}

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpResponse {
    /// Status code.
    pub status: u16,
    /// Headers, as (lower-case name, value). Headers whose values are not ASCII text are omitted.
    pub headers: Vec<(String, String)>,
    /// Response body.
    pub body: Bytes,
}

impl HttpResponse {
    /// Returns the value of the first header called `name`, which must be in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    /// Returns the first 200 bytes of the body as text, for error messages.
    #[must_use]
    pub fn excerpt(&self) -> String {
        const MAX_BYTES: usize = 200;
        let end = self.body.len().min(MAX_BYTES);
        String::from_utf8_lossy(&self.body[..end]).into_owned()
    }
}

/// Why a call failed.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum HttpError {
    /// The call is malformed and was not sent.
    #[snafu(display("malformed call: {message}"))]
    Malformed {
        /// Description of the cause.
        message: String,
    },
    /// No connection was established, so no byte of the request was sent.
    #[snafu(display("no connection: {message}"))]
    Connect {
        /// Description of the cause.
        message: String,
    },
    /// The connection failed before the complete response had arrived.
    #[snafu(display("connection lost: {message}"))]
    Lost {
        /// Description of the cause.
        message: String,
    },
    /// The call timed out.
    #[snafu(display("no answer within {} ms", after.as_millis()))]
    Timeout {
        /// Timeout of the call.
        after: Duration,
    },
    /// The response body is larger than allowed.
    #[snafu(display("the answer is larger than {limit} bytes"))]
    TooLarge {
        /// Maximum size of the body, in bytes.
        limit: usize,
    },
    /// The response body was given up, because the process has too little memory for it.
    #[snafu(display("no memory for an answer of {bytes} bytes"))]
    NoMemory {
        /// Size that the buffer of the body would have, in bytes.
        bytes: usize,
    },
}

impl HttpError {
    /// Whether the peer may have received the request. False only if it certainly has not.
    #[must_use]
    pub const fn may_have_arrived(&self) -> bool {
        !matches!(self, Self::Malformed { .. } | Self::Connect { .. })
    }
}

/// An HTTP client for one runtime thread. It never resends a request and follows no redirects.
#[derive(Clone)]
pub struct HttpClient {
    pooled: awc::Client,
    /// Used for calls with `fresh_connection`. All of them close their connection, so this client
    /// never holds an idle one.
    unpooled: awc::Client,
    limits: HttpLimits,
    /// Budget that response bodies draw on; none if they are limited one by one only.
    budget: Option<Arc<ByteBudget>>,
}

impl HttpClient {
    /// Creates a client with the given limits.
    #[must_use]
    pub fn new(limits: HttpLimits) -> Self {
        Self {
            pooled: build(&limits),
            unpooled: build(&limits),
            limits,
            budget: None,
        }
    }

    /// Accounts for response bodies until their last copies are dropped. One that does not fit is given
    /// up with [`HttpError::NoMemory`].
    #[must_use]
    pub fn with_budget(mut self, budget: Arc<ByteBudget>) -> Self {
        self.budget = Some(budget);
        self
    }

    /// Sends a request and reads the complete response.
    ///
    /// # Errors
    /// [`HttpError`]; see [`HttpError::may_have_arrived`]. A status other than 2xx is not an error.
    pub async fn call(&self, call: HttpCall) -> Result<HttpResponse, HttpError> {
        let after = call.timeout.unwrap_or(self.limits.timeout);
        match tokio::time::timeout(after, self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::Timeout { after }),
        }
    }

    async fn exchange(&self, call: HttpCall) -> Result<HttpResponse, HttpError> {
        let method = Method::from_bytes(call.method.as_bytes()).map_err(|e| malformed(&e))?;
        let mut req = if call.fresh_connection {
            self.unpooled.request(method, &call.url).force_close()
        } else {
            self.pooled.request(method, &call.url)
        };
        for (name, value) in &call.headers {
            req = req.append_header((name.as_str(), value.as_str()));
        }
        let sent = if call.body.len() > PIECE_BYTES {
            req.send_body(in_pieces(call.body)).await
        } else {
            req.send_body(call.body).await
        };
        let mut response = sent.map_err(|e| classify(&e))?;
        if !is_framed(&call.method, &response) {
            return Err(HttpError::Lost {
                message: "the answer has neither a length nor chunks".to_owned(),
            });
        }
        let body = read_body(&mut response, self.limits.max_body, self.budget.as_ref()).await?;
        let headers = response.headers().iter();
        Ok(HttpResponse {
            status: response.status().as_u16(),
            headers: headers
                .filter_map(|(n, v)| Some((n.as_str().to_owned(), v.to_str().ok()?.to_owned())))
                .collect(),
            body,
        })
    }
}

fn build(limits: &HttpLimits) -> awc::Client {
    let connector = awc::Connector::new()
        .connector(StrictConnector::default())
        .timeout(limits.connect_timeout)
        .limit(limits.connections);
    awc::Client::builder()
        .connector(connector)
        .disable_redirects()
        .disable_timeout()
        .no_default_headers()
        .finish()
}

/// Whether the end of a response is marked by its length or its last chunk, or it has no body. awc takes
/// any other HTTP/1.1 response for one without a body, whatever follows its head.
fn is_framed<S>(method: &str, response: &awc::ClientResponse<S>) -> bool {
    let status = response.status();
    let has_no_body = method == "HEAD"
        || status.is_informational()
        || matches!(status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED);
    let headers = response.headers();
    has_no_body
        || headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

/// Size of the pieces in which a large body is sent.
const PIECE_BYTES: usize = 16 * 1024;

/// A body that is sent in pieces, because a connection copies what it is given at once, and keeps the
/// buffer as long as it is open.
fn in_pieces(body: Bytes) -> SizedStream<impl Stream<Item = Result<Bytes, Infallible>>> {
    let length = body.len();
    let starts = (0..length).step_by(PIECE_BYTES);
    let pieces = starts.map(move |at| Ok(body.slice(at..length.min(at + PIECE_BYTES))));
    SizedStream::new(length as u64, futures_util::stream::iter(pieces))
}

fn malformed(e: &impl ToString) -> HttpError {
    HttpError::Malformed {
        message: e.to_string(),
    }
}

/// Converts an error of awc. awc reports a connection that closed after the request was sent as
/// `Connect(Disconnected)`, so only the other connect errors prove that nothing was sent.
fn classify(e: &SendRequestError) -> HttpError {
    let message = e.to_string();
    match e {
        SendRequestError::Connect(ConnectError::Disconnected) => HttpError::Lost { message },
        SendRequestError::Connect(_) => HttpError::Connect { message },
        SendRequestError::Url(_) | SendRequestError::Http(_) => HttpError::Malformed { message },
        _ => HttpError::Lost { message },
    }
}

async fn read_body<S>(
    response: &mut awc::ClientResponse<S>,
    limit: usize,
    budget: Option<&Arc<ByteBudget>>,
) -> Result<Bytes, HttpError>
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut share = budget.and_then(|budget| budget.admit(0));
    // An announced length is not trusted with memory before the bytes arrive.
    let mut body = BodyBuf::new(limit, None);
    while let Some(chunk) = response.next().await {
        let chunk = chunk.map_err(|e| HttpError::Lost {
            message: e.to_string(),
        })?;
        body.push(&chunk, |size| share.as_mut().is_none_or(|s| s.resize(size)))
            .map_err(|e| match e {
                DoesNotFit::TooLong { limit } => HttpError::TooLarge { limit },
                DoesNotFit::NoMemory { bytes } => HttpError::NoMemory { bytes },
            })?;
    }
    let body = body.freeze();
    Ok(match share {
        Some(share) => accounted(body, share),
        None => body,
    })
}
