//! HTTP/1.1 client connections to targets and to the platform.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use actix_rt::task::JoinHandle;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use slog::Logger;
use snafu::Snafu;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

use crate::collect::collect;
use crate::target_stream::TargetStream;

/// Timeout for establishing a connection to the platform or to an engine's control interface; links
/// inside a deployment take milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Timeout for establishing the connection of a caller's request, which may go to another target: a
/// longer wait would exceed the objective of 500 ms for the first event.
const ATTEMPT_CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Why a request got no complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum ExchangeError {
    /// No connection was established, so that no byte of the request was sent.
    #[snafu(display("not connected: {problem}"))]
    NotSent {
        /// Address and cause.
        problem: String,
    },
    /// Nothing listens at the address, so that no byte of the request was sent.
    #[snafu(display("connection refused: {problem}"))]
    Refused {
        /// Address and cause.
        problem: String,
    },
    /// The exchange failed on an established connection; the request may have arrived.
    #[snafu(display("no complete answer: {problem}"))]
    Broken {
        /// Address and cause.
        problem: String,
    },
    /// No complete answer arrived in time; the request may have arrived.
    #[snafu(display("no answer in time: {problem}"))]
    TimedOut {
        /// Address and time limit.
        problem: String,
    },
}

/// Keeps a connection alive; it is closed at once when this is dropped.
#[derive(Debug)]
pub struct ConnectionGuard(JoinHandle<()>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// An answer whose body has not been read yet.
#[derive(Debug)]
pub struct Exchange {
    /// Status and headers.
    pub head: hyper::http::response::Parts,
    /// Body of the answer.
    pub body: Incoming,
    /// Closes the connection when dropped.
    pub guard: ConnectionGuard,
}

type Sender = SendRequest<Full<Bytes>>;

async fn open(to: SocketAddr, limit: Duration) -> Result<TcpStream, ExchangeError> {
    let not_sent = |problem: String| ExchangeError::NotSent { problem };
    let stream = tokio::time::timeout(limit, TcpStream::connect(to))
        .await
        .map_err(|_| not_sent(format!("{to}: no connection within {limit:?}")))?
        .map_err(|e| {
            let problem = format!("{to}: {e}");
            if e.kind() == ErrorKind::ConnectionRefused {
                ExchangeError::Refused { problem }
            } else {
                not_sent(problem)
            }
        })?;
    stream
        .set_nodelay(true)
        .map_err(|e| not_sent(format!("{to}: {e}")))?;
    Ok(stream)
}

async fn handshake(
    to: SocketAddr,
    stream: impl AsyncRead + AsyncWrite + Unpin + 'static,
) -> Result<(Sender, ConnectionGuard), ExchangeError> {
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(MAX_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|e| ExchangeError::NotSent {
            problem: format!("{to}: {e}"),
        })?;
    let task = actix_rt::spawn(async move {
        // The exchange that uses the connection receives its error.
        let _ = connection.await;
    });
    Ok((sender, ConnectionGuard(task)))
}

/// Buffer size of one connection in bytes; bounds the memory of a process with many streams.
const MAX_BUFFER_BYTES: usize = 32 * 1024;

/// Sends one request on a new connection. `on_connected` is called once the connection is
/// established.
///
/// # Errors
/// [`ExchangeError::NotSent`] or [`ExchangeError::Refused`] if the connection could not be
/// established, otherwise [`ExchangeError::Broken`].
pub async fn send(
    to: SocketAddr,
    request: Request<Bytes>,
    log: &Logger,
    on_connected: impl FnOnce(),
) -> Result<Exchange, ExchangeError> {
    let stream = open(to, ATTEMPT_CONNECT_TIMEOUT).await?;
    let (mut sender, guard) = handshake(to, TargetStream::new(stream, log.clone())).await?;
    on_connected();
    let (head, body) = exchange(&mut sender, to, request).await?.into_parts();
    Ok(Exchange { head, body, guard })
}

async fn exchange(
    sender: &mut Sender,
    to: SocketAddr,
    request: Request<Bytes>,
) -> Result<Response<Incoming>, ExchangeError> {
    let broken = |e: hyper::Error| ExchangeError::Broken {
        problem: format!("{to}: {e}"),
    };
    sender.ready().await.map_err(broken)?;
    let response = sender.send_request(request.map(Full::new)).await;
    response.map_err(broken)
}

/// A complete answer.
#[derive(Debug, Clone)]
pub struct Answer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

/// Reads the body of an answer, up to `limit` bytes.
///
/// # Errors
/// [`ExchangeError::Broken`] if the body is cut short or exceeds the limit.
async fn read_body(mut body: Incoming, limit: usize) -> Result<Bytes, ExchangeError> {
    let collected = collect(&mut body, limit, |_| true).await;
    collected.map_err(|e| ExchangeError::Broken {
        problem: e.to_string(),
    })
}

/// Maximum size of an answer of the platform, in bytes; the store limits a list to 1 MB.
const MAX_STORE_BYTES: usize = 8 * 1024 * 1024;
/// Maximum size of an engine's report or answer to an order, in bytes. The reports of all engines
/// are read at about the same time.
const MAX_REPORT_BYTES: usize = 64 * 1024;

/// Sends one request to an engine's control interface on a new connection and reads the complete
/// answer.
///
/// # Errors
/// As for [`send`]; also [`ExchangeError::TimedOut`] if `timeout` passes.
pub async fn call(
    to: SocketAddr,
    request: Request<Bytes>,
    timeout: Duration,
) -> Result<Answer, ExchangeError> {
    let channel = Channel {
        limit: MAX_REPORT_BYTES,
        ..Channel::new(to)
    };
    channel.call(request, timeout).await
}

/// A client for calls to one address that follow one another; keeps its connection open between
/// them.
#[derive(Debug)]
pub struct Channel {
    to: SocketAddr,
    /// Maximum size of an answer, in bytes.
    limit: usize,
    kept: RefCell<Option<(Sender, ConnectionGuard)>>,
}

impl Channel {
    /// Creates a channel that connects at its first call.
    #[must_use]
    pub fn new(to: SocketAddr) -> Self {
        Self {
            to,
            limit: MAX_STORE_BYTES,
            kept: RefCell::new(None),
        }
    }

    /// Closes the kept connection, so that the next call makes a new one.
    pub fn close(&self) {
        self.kept.take();
    }

    /// Makes a call. The connection is kept only after a complete answer.
    ///
    /// # Errors
    /// As for [`call`].
    pub async fn call(
        &self,
        request: Request<Bytes>,
        timeout: Duration,
    ) -> Result<Answer, ExchangeError> {
        let call = async {
            let kept = self.kept.borrow_mut().take();
            let (mut sender, guard) = match kept {
                Some((sender, guard)) if !sender.is_closed() => (sender, guard),
                _ => handshake(self.to, open(self.to, CONNECT_TIMEOUT).await?).await?,
            };
            let response = exchange(&mut sender, self.to, request).await?;
            let (head, body) = response.into_parts();
            let body = read_body(body, self.limit).await?;
            *self.kept.borrow_mut() = Some((sender, guard));
            Ok(Answer {
                status: head.status,
                headers: head.headers,
                body,
            })
        };
        tokio::time::timeout(timeout, call)
            .await
            .unwrap_or_else(|_| {
                Err(ExchangeError::TimedOut {
                    problem: format!("{}: no answer within {timeout:?}", self.to),
                })
            })
    }
}
