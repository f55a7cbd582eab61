//! Listener for callers' connections (HTTP/1.1 and HTTP/2 without TLS) and reading of bodies.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpMessage as _, HttpService, KeepAlive, Payload, Request};
use actix_rt::task::JoinHandle;
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::Bytes;
use coriandercove_base::body_buf::{BodyBuf, DoesNotFit};
use coriandercove_base::byte_budget::{BASE_BYTES, ByteShare};
use coriandercove_base::telemetry::count;
use futures_util::StreamExt;

use super::serve;
use crate::runtime::Inner;

/// Time after which an idle connection is closed.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time allowed for an orderly close of a connection.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed `accept`, so that a lack of file descriptors does not cause a busy loop.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// Time allowed for receiving the body of a request, so that callers that send nothing do not hold memory.
const BODY_TIMEOUT: Duration = Duration::from_secs(30);
/// Time after which a request that did not fit into the memory may be repeated; most answers end within
/// it.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The listener for callers' connections.
pub struct CallerServer {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl CallerServer {
    /// Binds `listen` and starts to accept connections.
    pub(crate) async fn start(
        listen: SocketAddr,
        entry: Rc<Inner>,
        limits: ServerLimits,
    ) -> std::io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(listen).await?;
        let addr = listener.local_addr()?;
        let task = actix_rt::spawn(accept(listener, entry, limits));
        Ok(Self { addr, task })
    }

    /// Returns the bound address.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Stops accepting connections. Open connections stay open.
    pub fn stop_accepting(&self) {
        self.task.abort();
    }
}

/// Limits of the callers' endpoint.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Maximum number of open connections.
    pub connections: usize,
    /// Time allowed for receiving the head of a request.
    pub head_timeout: Duration,
}

/// Accepts connections until the task is aborted; closes those beyond the limit at once.
async fn accept(listener: tokio::net::TcpListener, entry: Rc<Inner>, limits: ServerLimits) {
    let for_requests = Rc::clone(&entry);
    let handler = fn_service(move |req: Request| {
        let entry = Rc::clone(&for_requests);
        async move { Ok::<_, actix_http::Error>(serve(entry, req).await) }
    });
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        .client_request_timeout(limits.head_timeout)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .finish(handler)
        .tcp_auto_h2c();
    let Ok(http) = factory.new_service(()).await else {
        return;
    };
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let Ok((io, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY).await;
            continue;
        };
        if open.get() >= limits.connections {
            count(&entry.refusals, "reason", "too_many_connections");
            continue;
        }
        let _ = io.set_nodelay(true);
        open.set(open.get() + 1);
        let open = Rc::clone(&open);
        let connection = http.call(io);
        actix_rt::spawn(async move {
            // An error concerns only this caller, whose requests are cancelled by their guards.
            let _ = connection.await;
            open.set(open.get() - 1);
        });
    }
}

/// The refusal of a request whose body cannot be read.
pub struct BodyError {
    pub status: u16,
    pub reason: &'static str,
    pub message: String,
    /// Time after which the caller may retry; zero if the refusal states no time.
    pub retry_after: Duration,
}

impl BodyError {
    fn new(status: u16, reason: &'static str, message: String) -> Self {
        Self {
            status,
            reason,
            message,
            retry_after: Duration::ZERO,
        }
    }

    /// The refusal of a request for which there is no memory.
    pub fn no_memory() -> Self {
        let message = "other requests take the memory of this entry".to_owned();
        Self {
            retry_after: MEMORY_RETRY_AFTER,
            ..Self::new(503, "memory", message)
        }
    }
}

/// Reads the whole body of a request, with memory for it and for a small answer. It may have `limit` bytes,
/// or what the entry allows if that is less.
///
/// # Errors
/// [`BodyError`] if the connection fails, the caller is too slow, the body has more bytes than allowed, or
/// there is no memory for it.
pub async fn read_body(
    req: &mut Request,
    entry: &Inner,
    limit: usize,
) -> Result<(Bytes, ByteShare), BodyError> {
    let limit = limit.min(entry.max_body);
    let length = req.headers().get("content-length");
    let known = length
        .and_then(|v| v.to_str().ok()?.parse::<usize>().ok())
        .filter(|n| *n <= limit);
    let mut payload = req.take_payload();
    let wanted = BASE_BYTES.saturating_add(known.unwrap_or(0));
    let Some(mut share) = entry.bytes.admit(wanted) else {
        discard(payload, limit);
        return Err(BodyError::no_memory());
    };
    let mut body = BodyBuf::new(limit, known);
    let collect = async {
        while let Some(chunk) = payload.next().await {
            let chunk =
                chunk.map_err(|e| BodyError::new(400, "bad_body", format!("request body: {e}")))?;
            body.push(&chunk, |size| {
                share.grow_to(BASE_BYTES.saturating_add(size))
            })
            .map_err(|e| match e {
                DoesNotFit::TooLong { .. } => {
                    let message = format!("request body: more than {limit} bytes");
                    BodyError::new(413, "body_too_large", message)
                }
                DoesNotFit::NoMemory { .. } => BodyError::no_memory(),
            })?;
        }
        Ok(())
    };
    let collected = tokio::time::timeout(BODY_TIMEOUT, collect).await;
    match collected {
        Ok(Ok(())) => Ok((body.freeze(), share)),
        Ok(Err(e)) => {
            discard(payload, limit);
            Err(e)
        }
        Err(_) => {
            let message = format!("request body: not complete within {BODY_TIMEOUT:?}");
            Err(BodyError::new(408, "body_too_slow", message))
        }
    }
}

/// Reads a body that is not used and keeps nothing of it, so that its caller gets the answer: one that
/// still sends when the connection is closed may lose it.
fn discard(mut payload: Payload, limit: usize) {
    actix_rt::spawn(async move {
        let read = async {
            let mut bytes = 0;
            while let Some(Ok(chunk)) = payload.next().await {
                bytes += chunk.len();
                if bytes > limit {
                    return;
                }
            }
        };
        // A caller that is too slow loses its connection, as it would have with the body in use.
        let _ = tokio::time::timeout(BODY_TIMEOUT, read).await;
    });
}
