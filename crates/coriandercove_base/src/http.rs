//! An HTTP client for the peer packages, with bounds and a precise account of what a failed call may
//! have done.

mod stream;

use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use snafu::Snafu;

use self::stream::StrictConnector;

/// Bounds of a client's calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HttpLimits {
    /// Time to make a connection. Shorter than `timeout`, so that an unreachable peer yields
    /// [`HttpError::Connect`].
    pub connect_timeout: Duration,
    /// Time from the call to the end of the answer, unless the call sets its own.
    pub timeout: Duration,
    /// Largest body of an answer, in bytes.
    pub max_body: usize,
    /// Connections open at once to all peers together, counted apart for pooled and for fresh ones.
    /// Further calls wait within their time.
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
    /// Whole address.
    pub url: String,
    /// Further headers.
    pub headers: Vec<(String, String)>,
    /// Body; may be empty.
    pub body: Bytes,
    /// Time from the call to the end of the answer; `None` means the client's.
    pub timeout: Option<Duration>,
    /// Whether to use a connection of its own. A pooled connection may have been closed by the peer
    /// unnoticed, and then it is unknown whether the request arrived.
    pub fresh_connection: bool,
}

impl HttpCall {
    /// A call without body over a pooled connection.
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

    /// Sets the body.
    #[must_use]
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &str, value: impl Into<String>) -> Self {
        self.headers.push((name.to_owned(), value.into()));
        self
    }

    /// Sets the time from the call to the end of the answer.
    #[must_use]
    pub const fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = Some(timeout);
        self
    }

    /// Uses a connection of its own.
    #[must_use]
    pub const fn fresh_connection(mut self) -> Self {
        self.fresh_connection = true;
        self
    }
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HttpAnswer {
    /// Status code.
    pub status: u16,
    /// Headers with lower-case names. Values that are not text are left out.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

impl HttpAnswer {
    /// Value of the first header called `name`, which is in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers
            .iter()
            .find(|(n, _)| n == name)
            .map(|(_, v)| v.as_str())
    }

    /// Start of the body as text, for error messages.
    #[must_use]
    pub fn excerpt(&self) -> String {
        const LONGEST: usize = 200;
        let end = self.body.len().min(LONGEST);
        String::from_utf8_lossy(&self.body[..end]).into_owned()
    }
}

/// Failure of a call.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
#[snafu(visibility(pub))]
pub enum HttpError {
    /// The call is malformed and was not sent.
    #[snafu(display("malformed call: {message}"))]
    Malformed {
        /// Text of the cause.
        message: String,
    },
    /// No connection was made, so no byte of the request left.
    #[snafu(display("no connection: {message}"))]
    Connect {
        /// Text of the cause.
        message: String,
    },
    /// The connection failed before the whole answer had arrived.
    #[snafu(display("connection lost: {message}"))]
    Lost {
        /// Text of the cause.
        message: String,
    },
    /// The time ran out.
    #[snafu(display("no answer within {} ms", after.as_millis()))]
    Timeout {
        /// The time allowed.
        after: Duration,
    },
    /// The body of the answer is too large.
    #[snafu(display("the answer is larger than {limit} bytes"))]
    TooLarge {
        /// Bytes allowed.
        limit: usize,
    },
}

impl HttpError {
    /// Whether the peer may have received the request. False only if it surely has not.
    #[must_use]
    pub const fn may_have_arrived(&self) -> bool {
        !matches!(self, Self::Malformed { .. } | Self::Connect { .. })
    }
}

/// A client for one runtime thread. It never resends a request and follows no redirect.
#[derive(Clone)]
pub struct HttpClient {
    pooled: awc::Client,
    /// All calls of this client close their connection, so it never holds an idle one.
    unpooled: awc::Client,
    limits: HttpLimits,
}

impl HttpClient {
    /// A client with the given bounds.
    #[must_use]
    pub fn new(limits: HttpLimits) -> Self {
        Self {
            pooled: build(&limits),
            unpooled: build(&limits),
            limits,
        }
    }

    /// Sends a request and reads the whole answer.
    ///
    /// # Errors
    /// [`HttpError`]; see [`HttpError::may_have_arrived`]. A status other than 2xx is no error.
    pub async fn call(&self, call: HttpCall) -> Result<HttpAnswer, HttpError> {
        let after = call.timeout.unwrap_or(self.limits.timeout);
        match tokio::time::timeout(after, self.exchange(call)).await {
            Ok(result) => result,
            Err(_) => Err(HttpError::Timeout { after }),
        }
    }

    async fn exchange(&self, call: HttpCall) -> Result<HttpAnswer, HttpError> {
        let method = Method::from_bytes(call.method.as_bytes()).map_err(|e| malformed(&e))?;
        let mut req = if call.fresh_connection {
            self.unpooled.request(method, &call.url).force_close()
        } else {
            self.pooled.request(method, &call.url)
        };
        for (name, value) in &call.headers {
            req = req.append_header((name.as_str(), value.as_str()));
        }
        let mut answer = req.send_body(call.body).await.map_err(|e| classify(&e))?;
        let body = read_body(&mut answer, self.limits.max_body).await?;
        let headers = answer.headers().iter();
        Ok(HttpAnswer {
            status: answer.status().as_u16(),
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

fn malformed(e: &impl ToString) -> HttpError {
    HttpError::Malformed {
        message: e.to_string(),
    }
}

/// awc reports a connection that closed after the request was sent as `Connect(Disconnected)`,
/// so only the other connect errors prove that nothing was sent.
fn classify(e: &SendRequestError) -> HttpError {
    let message = e.to_string();
    match e {
        SendRequestError::Connect(ConnectError::Disconnected) => HttpError::Lost { message },
        SendRequestError::Connect(_) => HttpError::Connect { message },
        SendRequestError::Url(_) | SendRequestError::Http(_) => HttpError::Malformed { message },
        _ => HttpError::Lost { message },
    }
}

async fn read_body<S>(answer: &mut awc::ClientResponse<S>, limit: usize) -> Result<Bytes, HttpError>
where
    S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    let mut body = BytesMut::new();
    while let Some(chunk) = answer.next().await {
        let chunk = chunk.map_err(|e| HttpError::Lost {
            message: e.to_string(),
        })?;
        if body.len() + chunk.len() > limit {
            return Err(HttpError::TooLarge { limit });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
