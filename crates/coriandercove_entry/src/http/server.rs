//! Connections of callers, HTTP/1.1 and HTTP/2.

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

/// Time that an idle connection is kept.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Time that a connection gets to close.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failed accept, so that a lack of file descriptors does not spin a core.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);

/// The endpoint for callers.
pub struct CallerServer {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl CallerServer {
    /// Listens for callers.
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

    /// Address that callers use.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Accepts no more connections. Open ones go on.
    pub fn stop_accepting(&self) {
        self.task.abort();
    }
}

/// Limits of the endpoint.
#[derive(Debug, Clone, Copy)]
pub struct ServerLimits {
    /// Connections at the most.
    pub connections: usize,
    /// Time that a caller gets to send the head of a request.
    pub head_timeout: Duration,
}

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
            // A connection that fails concerns only its caller, whose requests are cancelled.
            let _ = connection.await;
            open.set(open.get() - 1);
        });
    }
}

/// Why a body could not be read.
pub struct BodyError {
    pub status: u16,
    pub reason: &'static str,
    pub message: String,
}

/// Reads a whole body of at most `limit` bytes.
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
