//! Accepts HTTP connections of callers, and of the load balancer and metrics readers.

use std::cell::Cell;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use slog::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

use crate::caller_stream::CallerStream;
use crate::proxy;
use crate::relay::Body;
use crate::state::Router;
use crate::stopping::FIRST_REQUEST_TIME;

/// Bytes that hyper buffers for each connection; must hold the largest request head.
const MAX_BUFFER_BYTES: usize = 64 * 1024;
/// Idle limit for connections of callers before a configuration is in force, and for status
/// connections always.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// Pause after a failed accept, so that exhausted descriptors do not cause a busy loop.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// File descriptors for each caller: its own connection and the one to the target.
const DESCRIPTORS_PER_CALLER: usize = 2;
/// File descriptors reserved for the store, peers, listeners and files.
const RESERVED_DESCRIPTORS: usize = 300;

/// HTTP server for callers.
pub struct Server {
    router: Rc<Router>,
    open: Rc<Cell<usize>>,
    /// Whether [`Self::accept`] runs; it accepts waiting connections after closing has begun.
    is_accepting: Cell<bool>,
    /// Set to true to close each connection after its current request.
    closing: watch::Sender<bool>,
}

impl Server {
    /// Creates a server without a listener.
    #[must_use]
    pub fn new(router: Rc<Router>) -> Rc<Self> {
        let (closing, _) = watch::channel(false);
        Rc::new(Self {
            router,
            open: Rc::default(),
            is_accepting: Cell::new(false),
            closing,
        })
    }

    /// Number of open connections of callers.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Whether no caller is connected and no connection is accepted any more.
    #[must_use]
    pub fn is_drained(&self) -> bool {
        !self.is_accepting.get() && self.open.get() == 0
    }

    /// Stops accepting connections and closes each open one after its current request.
    pub fn close_gracefully(&self) {
        self.closing.send_replace(true);
    }

    /// Accepts connections of callers until [`Self::close_gracefully`] is called, and then those
    /// that are established already; their callers may have sent a request. Connections beyond the
    /// limit that the file descriptors allow are closed at once and counted as refused.
    pub fn accept(self: Rc<Self>, listener: TcpListener) -> impl Future<Output = ()> {
        // The server is not drained before the future has run, even if closing begins earlier.
        self.is_accepting.set(true);
        self.accept_until_closed(listener)
    }

    async fn accept_until_closed(self: Rc<Self>, listener: TcpListener) {
        let max_connections = self
            .router
            .settings
            .max_descriptors
            .saturating_sub(RESERVED_DESCRIPTORS)
            / DESCRIPTORS_PER_CALLER;
        let mut closing = self.closing.subscribe();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = closing.wait_for(|c| *c) => break,
            };
            match accepted {
                Ok((stream, _)) => self.serve(stream, max_connections),
                Err(e) => {
                    warn!(self.router.log, "accept failed"; "cause" => %e);
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            }
        }
        if let Err(e) = self.accept_waiting(listener, max_connections) {
            warn!(self.router.log, "waiting connections not accepted"; "cause" => %e);
        }
        self.is_accepting.set(false);
    }

    fn serve(self: &Rc<Self>, stream: TcpStream, max_connections: usize) {
        if self.open.get() < max_connections {
            actix_rt::spawn(Rc::clone(self).connection(stream));
        } else {
            self.router.metrics.refusal("connections");
        }
    }

    /// Accepts the connections that wait in the listener's queue and closes it. The runtime may not
    /// have noticed them yet, so that they are taken from the operating system directly.
    fn accept_waiting(
        self: &Rc<Self>,
        listener: TcpListener,
        max_connections: usize,
    ) -> std::io::Result<()> {
        let listener = listener.into_std()?;
        loop {
            let stream = match listener.accept() {
                Ok((stream, _)) => stream,
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Ok(()),
                Err(e) => return Err(e),
            };
            stream.set_nonblocking(true)?;
            self.serve(TcpStream::from_std(stream)?, max_connections);
        }
    }

    async fn connection(self: Rc<Self>, stream: TcpStream) {
        let _open = OpenConnection::new(&self.open);
        if let Err(e) = stream.set_nodelay(true) {
            warn!(self.router.log, "connection not usable"; "cause" => %e);
            return;
        }
        let stream = CallerStream::new(stream, Rc::clone(&self.router));
        let idle = self
            .router
            .configuration()
            .map_or(DEFAULT_IDLE, |c| c.limits.idle_timeout);
        let router = Rc::clone(&self.router);
        let has_request = Rc::new(Cell::new(false));
        let noted = Rc::clone(&has_request);
        let service = service_fn(move |req| {
            let router = Rc::clone(&router);
            noted.set(true);
            async move { Ok::<_, Infallible>(proxy::serve(router, req).await) }
        });
        // hyper's timeout for reading a head also runs while a connection is idle, so it is set to
        // the idle limit.
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .header_read_timeout(idle)
            .max_buf_size(MAX_BUFFER_BYTES)
            .serve_connection(TokioIo::new(stream), service);
        let mut connection = std::pin::pin!(connection);
        let mut closing = self.closing.subscribe();
        tokio::select! {
            // The caller causes these errors: it disconnected or sent no valid request.
            _ = connection.as_mut() => return,
            _ = closing.wait_for(|c| *c) => {}
        }
        if !has_request.get() {
            // hyper closes a connection without a request at once, even if one is on its way.
            let first = tokio::time::timeout(FIRST_REQUEST_TIME, connection.as_mut());
            if first.await.is_ok() {
                return;
            }
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}

struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Serves the readiness check and the metrics on the same address.
pub async fn serve_status(router: Rc<Router>, address: SocketAddr, listener: TcpListener) {
    info!(router.log, "status served"; "address" => %address);
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(e) => {
                warn!(router.log, "accept failed"; "cause" => %e);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let router = Rc::clone(&router);
        actix_rt::spawn(async move {
            let service = service_fn(move |req| {
                let response = status_answer(&router, &req);
                async move { Ok::<_, Infallible>(response) }
            });
            let connection = http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(DEFAULT_IDLE)
                .max_buf_size(MAX_BUFFER_BYTES)
                .serve_connection(TokioIo::new(stream), service);
            // A reader that disconnects early is no fault of this process.
            let _ = connection.await;
        });
    }
}

/// URL path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

fn status_answer<B>(router: &Router, req: &Request<B>) -> Response<Body> {
    let path = req.uri().path();
    let (status, body) = if *req.method() != Method::GET {
        (StatusCode::METHOD_NOT_ALLOWED, String::new())
    } else if path == METRICS_PATH {
        router.refresh_gauges();
        (StatusCode::OK, router.metrics.registry.encode())
    } else if path != router.protocol.readiness_path() {
        (StatusCode::NOT_FOUND, String::new())
    } else if router.is_ready() {
        (StatusCode::OK, String::new())
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, String::new())
    };
    let mut response = Response::new(Body::whole(body));
    *response.status_mut() = status;
    response
}
