//! The HTTP server of the operations endpoint.

use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BoxBody, to_bytes_limited};
use actix_http::header::{self, HeaderValue};
use actix_http::{HttpMessage as _, HttpService, Method, Request, Response, StatusCode};
use actix_rt::net::TcpStream;
use actix_rt::task::JoinHandle;
use actix_service::{Service as _, ServiceFactory as _};
use coriandercove_base::telemetry::{CounterFamily, Metrics, count};
use coriandercove_config::Secret;
use futures_util::StreamExt as _;
use serde::Serialize;
use slog::{Logger, warn};
use tokio::sync::Semaphore;

use crate::api::{DrainRequest, ErrorBody, ExplainQuery};
use crate::handler::{OperationsError, OperationsHandler};

/// Default limit of connections served at one time. Operators and scrapers need few.
const DEFAULT_CONNECTIONS: usize = 64;
/// Default time within which a client must send the head of a request.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest request body in bytes. The only body is that of `POST /drain`, a small JSON object.
const MAX_BODY_BYTES: usize = 16 * 1024;
/// Pause after a failed accept, so that a lack of file descriptors does not keep a core busy.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// The paths with their methods, for the error message of an unknown path.
const ROUTES: &str = "GET /metrics, GET /healthz, GET /readyz, GET /status, GET /config, \
                      GET /explain and POST /drain";

/// Builds an [`OperationsServer`].
pub struct OperationsServerBuilder {
    handler: Rc<dyn OperationsHandler>,
    token: Secret,
    connections: usize,
    head_timeout: Duration,
    metrics: Metrics,
    log: Logger,
}

/// The operations endpoint of a process. It stops when dropped.
pub struct OperationsServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

struct Shared {
    handler: Rc<dyn OperationsHandler>,
    token: Secret,
    refusals: CounterFamily,
}

impl OperationsServerBuilder {
    /// Creates a builder of a server for `handler`. The paths of the operators' API require
    /// `token`; metrics, health and readiness do not.
    #[must_use]
    pub fn new(handler: Rc<dyn OperationsHandler>, token: Secret) -> Self {
        Self {
            handler,
            token,
            connections: DEFAULT_CONNECTIONS,
            head_timeout: DEFAULT_HEAD_TIMEOUT,
            metrics: Metrics::default(),
            log: coriandercove_base::telemetry::discard(),
        }
    }

    /// Sets how many connections are served at one time; further ones wait to be accepted.
    #[must_use]
    pub const fn connections(mut self, connections: usize) -> Self {
        self.connections = connections;
        self
    }

    /// Sets the time within which a client must send the head of a request.
    #[must_use]
    pub const fn head_timeout(mut self, timeout: Duration) -> Self {
        self.head_timeout = timeout;
        self
    }

    /// Registers the counter of refused calls in `metrics`.
    #[must_use]
    pub fn metrics(mut self, metrics: Metrics) -> Self {
        self.metrics = metrics;
        self
    }

    /// Sets the log.
    #[must_use]
    pub fn log(mut self, log: Logger) -> Self {
        self.log = log;
        self
    }

    /// Starts to serve on the current runtime thread.
    ///
    /// # Errors
    /// Returns the I/O error if `address` cannot be bound.
    pub fn bind(self, address: SocketAddr) -> io::Result<OperationsServer> {
        let listener = TcpListener::bind(address)?;
        listener.set_nonblocking(true)?;
        let address = listener.local_addr()?;
        let listener = actix_rt::net::TcpListener::from_std(listener)?;
        let refusals = self.metrics.counters(
            "operations_refusals",
            "Calls of the operations endpoint that were refused",
        );
        let shared = Rc::new(Shared {
            handler: self.handler,
            token: self.token,
            refusals,
        });
        let task = actix_rt::spawn(accept(
            listener,
            shared,
            self.connections,
            self.head_timeout,
            self.log,
        ));
        Ok(OperationsServer { address, task })
    }
}

impl OperationsServer {
    /// Returns the address that is served. If port 0 was requested, it has the port that was
    /// chosen.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for OperationsServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(
    listener: actix_rt::net::TcpListener,
    shared: Rc<Shared>,
    connections: usize,
    head_timeout: Duration,
    log: Logger,
) {
    let factory = HttpService::build()
        .client_request_timeout(head_timeout)
        .finish(move |req: Request| {
            let shared = Rc::clone(&shared);
            async move { Ok::<_, Infallible>(answer(&shared, req).await) }
        })
        .tcp();
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    let permits = std::sync::Arc::new(Semaphore::new(connections));
    loop {
        let Ok(permit) = std::sync::Arc::clone(&permits).acquire_owned().await else {
            return;
        };
        match listener.accept().await {
            Ok((stream, _)) => {
                let service = Rc::clone(&service);
                actix_rt::spawn(async move {
                    let stream: TcpStream = stream;
                    // An error only concerns this connection, which has ended.
                    let _ = service.call(stream).await;
                    drop(permit);
                });
            }
            Err(e) => {
                warn!(log, "cannot accept on the operations address"; "error" => %e);
                actix_rt::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn answer(shared: &Shared, req: Request) -> Response<BoxBody> {
    match route(shared, req).await {
        Ok(response) => response,
        Err(refusal) => refuse(shared, &refusal),
    }
}

struct Refusal {
    status: StatusCode,
    reason: &'static str,
    message: String,
}

impl From<OperationsError> for Refusal {
    fn from(e: OperationsError) -> Self {
        let status = StatusCode::from_u16(e.status()).unwrap_or(StatusCode::BAD_REQUEST);
        Self {
            status,
            reason: match e {
                OperationsError::NotReady { .. } => "not_ready",
                OperationsError::NotFound { .. } => "not_found",
                OperationsError::Invalid { .. } => "invalid",
            },
            message: e.to_string(),
        }
    }
}

fn invalid(message: String) -> Refusal {
    Refusal::from(OperationsError::Invalid { message })
}

fn refuse(shared: &Shared, refusal: &Refusal) -> Response<BoxBody> {
    count(&shared.refusals, "reason", refusal.reason);
    let body = ErrorBody {
        error: refusal.message.clone(),
    };
    let mut response = json(refusal.status, &body);
    if refusal.status == StatusCode::UNAUTHORIZED {
        let value = HeaderValue::from_static("Bearer");
        response
            .headers_mut()
            .insert(header::WWW_AUTHENTICATE, value);
    }
    response
}

async fn route(shared: &Shared, req: Request) -> Result<Response<BoxBody>, Refusal> {
    let path = req.path().to_owned();
    let expected = match path.as_str() {
        "/metrics" | "/healthz" | "/readyz" | "/status" | "/config" | "/explain" => Method::GET,
        "/drain" => Method::POST,
        _ => return Err(unknown_path(&path)),
    };
    if *req.method() != expected {
        return Err(wrong_method(&req, &path, &expected));
    }
    match path.as_str() {
        "/metrics" => Ok(metrics(shared)),
        "/healthz" => Ok(Response::build(StatusCode::OK)
            .body("ok\n")
            .map_into_boxed_body()),
        "/readyz" => Ok(readiness(shared)),
        _ => {
            authorize(shared, &req)?;
            call_handler(shared, req, &path).await
        }
    }
}

/// Answers a call of the operators' API whose token has been checked.
async fn call_handler(
    shared: &Shared,
    req: Request,
    path: &str,
) -> Result<Response<BoxBody>, Refusal> {
    let handler = &shared.handler;
    match path {
        "/status" => Ok(json(StatusCode::OK, &handler.status())),
        "/config" => Ok(json(StatusCode::OK, &handler.config()?)),
        "/explain" => {
            let query: ExplainQuery =
                serde_urlencoded::from_str(req.uri().query().unwrap_or_default())
                    .map_err(|e| invalid(format!("query of /explain: {e}")))?;
            query
                .check()
                .map_err(|e| invalid(format!("query of /explain: {e}")))?;
            Ok(json(StatusCode::OK, &handler.explain(query)?))
        }
        _ => {
            let req = drain_request(req).await?;
            Ok(json(StatusCode::OK, &handler.drain(req).await?))
        }
    }
}

async fn drain_request(mut req: Request) -> Result<DrainRequest, Refusal> {
    let payload = actix_http::body::BodyStream::new(req.take_payload().boxed_local());
    let body = match to_bytes_limited(payload, MAX_BODY_BYTES).await {
        Ok(Ok(body)) => body,
        Ok(Err(e)) => return Err(invalid(format!("body of /drain: {e}"))),
        Err(_) => {
            return Err(Refusal {
                status: StatusCode::PAYLOAD_TOO_LARGE,
                reason: "too_large",
                message: format!("body of /drain: more than {MAX_BODY_BYTES} bytes"),
            });
        }
    };
    if body.is_empty() {
        return Ok(DrainRequest::default());
    }
    serde_json::from_slice(&body).map_err(|e| invalid(format!("body of /drain: {e}")))
}

/// Checks the operator token. The authentication scheme is compared without regard to case, as RFC
/// 9110 section 11.1 requires.
fn authorize(shared: &Shared, req: &Request) -> Result<(), Refusal> {
    let given = req
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|v| v.to_str().ok())
        .and_then(|v| v.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, token)| token.trim());
    match given {
        Some(token) if shared.token.matches(token) => Ok(()),
        _ => Err(Refusal {
            status: StatusCode::UNAUTHORIZED,
            reason: "unauthorized",
            message: "header Authorization: a valid operator token is required, as \
                      `Bearer TOKEN`"
                .to_owned(),
        }),
    }
}

fn metrics(shared: &Shared) -> Response<BoxBody> {
    Response::build(StatusCode::OK)
        .insert_header((
            header::CONTENT_TYPE,
            "application/openmetrics-text; version=1.0.0; charset=utf-8",
        ))
        .body(shared.handler.metrics())
        .map_into_boxed_body()
}

fn readiness(shared: &Shared) -> Response<BoxBody> {
    let readiness = shared.handler.readiness();
    let status = if readiness.ready {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    json(status, &readiness)
}

fn unknown_path(path: &str) -> Refusal {
    Refusal {
        status: StatusCode::NOT_FOUND,
        reason: "unknown_path",
        message: format!("there is no path {path}; there are {ROUTES}"),
    }
}

fn wrong_method(req: &Request, path: &str, expected: &Method) -> Refusal {
    Refusal {
        status: StatusCode::METHOD_NOT_ALLOWED,
        reason: "wrong_method",
        message: format!("{} {path}: use {expected}", req.method()),
    }
}

fn json(status: StatusCode, body: &impl Serialize) -> Response<BoxBody> {
    // Cannot fail: the bodies are plain data whose map keys are strings.
    let body = serde_json::to_vec(body).unwrap_or_default();
    Response::build(status)
        .insert_header((header::CONTENT_TYPE, "application/json"))
        .body(body)
        .map_into_boxed_body()
}
