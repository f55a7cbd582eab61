//! Listener for callers' connections (HTTP/1.1 and HTTP/2 without TLS) and reading of bodies.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpService, KeepAlive, Request};
use actix_rt::task::JoinHandle;
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
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
}

/// Reads the whole body of a request.
///
/// # Errors
/// [`BodyError`] if the connection fails or the body has more than `limit` bytes.
pub async fn read_body(req: &mut Request, limit: usize) -> Result<Bytes, BodyError> {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|e| BodyError {
            status: 400,
            reason: "bad_body",
            message: format!("request body: {e}"),
        })?;
        if body.len() + chunk.len() > limit {
            let message = format!("request body: more than {limit} bytes");
            return Err(BodyError {
                status: 413,
                reason: "body_too_large",
                message,
            });
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body.freeze())
}
