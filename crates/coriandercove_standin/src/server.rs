//! HTTP server of the stand-ins. Each server runs on a thread of its own until it is stopped
//! through its handle.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::thread::JoinHandle;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpMessage, HttpService, KeepAlive, Request, Response, StatusCode};
use actix_service::{Service, ServiceFactory, fn_service};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use futures_util::future::LocalBoxFuture;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{Notify, oneshot};

/// Largest request body, in bytes. It is large enough for the KV state of a long sequence.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Largest number of connections that wait to be accepted. The 128 of the standard library are too
/// few for bursts of calls on new connections: a dropped SYN is sent again only after 1 s.
const ACCEPT_BACKLOG: u32 = 4_096;
/// Time after which an idle connection is closed. It is longer than clients keep idle connections
/// in their pools, so that on the side of the server only faults close connections.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(75);
/// Period of the check whether requests are still in flight during a stop. It is also the time for
/// writing the last answers after a stop, and the pause after a connection could not be accepted.
const STOP_POLL: Duration = Duration::from_millis(5);

/// An HTTP request whose body has been read completely.
#[derive(Debug, Clone)]
pub struct Req {
    /// HTTP method, such as `GET`.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; may be empty.
    pub query: String,
    /// Names, in lower case, and values of the headers. Headers whose value is not ASCII text are
    /// left out.
    pub headers: Vec<(String, String)>,
    /// The request body; at most 64 MiB.
    pub body: Bytes,
}

impl Req {
    /// Returns the value of the first header called `name`, which must be in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    /// Returns the value of the first query parameter called `name`, without percent-decoding.
    #[must_use]
    pub fn param(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    /// Parses the body as JSON.
    ///
    /// # Errors
    /// If the body is not valid: the reply to send, with status 400 and the position of the error.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|e| Reply::text(400, &e.to_string()))
    }
}

/// What the server does with a request.
#[derive(Debug, Clone)]
pub enum Reply {
    /// Sends a complete HTTP response.
    Answer {
        /// HTTP status code; one that is not valid is sent as 500.
        status: u16,
        /// Headers beside those that the server adds.
        headers: Vec<(&'static str, String)>,
        /// The response body.
        body: Bytes,
    },
    /// Closes the connection without a response.
    Disconnect,
}

impl Reply {
    /// Creates a response with the given body and no content type.
    #[must_use]
    pub fn bytes(status: u16, body: impl Into<Bytes>) -> Self {
        Self::Answer {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// Creates a response with a text as its body.
    #[must_use]
    pub fn text(status: u16, message: &str) -> Self {
        Self::bytes(status, message.to_owned())
    }

    /// Creates a response with `body` as JSON, or one with status 500 if it cannot be encoded.
    #[must_use]
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        match serde_json::to_vec(body) {
            Ok(body) => Self::bytes(status, body).header("content-type", "application/json"),
            Err(e) => Self::text(500, &e.to_string()),
        }
    }

    /// Adds a header to a response; does nothing to [`Reply::Disconnect`].
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        if let Self::Answer { headers, .. } = &mut self {
            headers.push((name, value.into()));
        }
        self
    }
}

/// Application that a [`Server`] serves.
pub trait App: 'static {
    /// Handles one request. Requests of different connections are handled concurrently on one
    /// thread.
    fn answer(self: Rc<Self>, req: Req) -> LocalBoxFuture<'static, Reply>;
}

/// How a server ends.
enum Shutdown {
    /// Waits for the requests in flight, at most for this time.
    Stop(Duration),
    /// Closes all connections at once.
    Kill,
}

/// Handle of a running server. Dropping it kills the server.
pub struct Server {
    addr: SocketAddr,
    /// Tells the thread to end; `None` after it was used.
    shutdown: Option<oneshot::Sender<Shutdown>>,
    /// `None` after the thread was joined.
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Binds `listen` and starts a thread called `name` that serves the application. `make_app`
    /// creates it on that thread, because it need not be `Send`.
    ///
    /// # Errors
    /// If the address cannot be bound or no thread can be started.
    pub fn start<A: App>(
        listen: SocketAddr,
        name: &str,
        make_app: impl FnOnce() -> Rc<A> + Send + 'static,
    ) -> io::Result<Self> {
        let (tx, rx) = oneshot::channel();
        let (bound_tx, bound) = std::sync::mpsc::channel();
        let thread = std::thread::Builder::new()
            .name(name.to_owned())
            .spawn(move || {
                let runtime = match actix_rt::Runtime::new() {
                    Ok(runtime) => runtime,
                    Err(e) => return drop(bound_tx.send(Err(e))),
                };
                runtime.block_on(async {
                    match bind(listen) {
                        Ok((listener, addr)) => {
                            // If the caller is gone, the channel of `rx` is closed, which acts as a
                            // kill.
                            let _ = bound_tx.send(Ok(addr));
                            run(listener, make_app, rx).await;
                        }
                        Err(e) => drop(bound_tx.send(Err(e))),
                    }
                });
            })?;
        let addr = bound.recv().map_err(io::Error::other)??;
        Ok(Self {
            addr,
            shutdown: Some(tx),
            thread: Some(thread),
        })
    }

    /// Returns the address that the server listens on, with the port that was chosen.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Returns the base URL, without a trailing slash.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Stops accepting connections, and ends when the requests in flight are answered, or after
    /// `grace`.
    pub fn stop(mut self, grace: Duration) {
        self.shut_down(Shutdown::Stop(grace));
    }

    /// Ends at once and closes all connections.
    pub fn kill(mut self) {
        self.shut_down(Shutdown::Kill);
    }

    /// Tells the thread to end and waits until it has ended.
    fn shut_down(&mut self, shutdown: Shutdown) {
        if let Some(tx) = self.shutdown.take() {
            // Sending fails if the thread has ended already.
            let _ = tx.send(shutdown);
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.shut_down(Shutdown::Kill);
    }
}

/// Binds a listener; returns it with its address, which has the chosen port if `addr` has port 0.
fn bind(addr: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    // A stand-in that is started again after a kill must be able to bind its old address.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    let listener = socket.listen(ACCEPT_BACKLOG)?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

/// Open connections by the address of the peer. Notifying one closes it without a response.
type Connections = Rc<RefCell<HashMap<SocketAddr, Rc<Notify>>>>;

/// State shared by the connections of one server.
struct Context<A> {
    app: Rc<A>,
    connections: Connections,
    in_flight: Rc<Cell<usize>>,
}

/// Serves connections until the handle requests a shutdown. Returning ends the runtime, which
/// closes all connections.
async fn run<A: App>(
    listener: TcpListener,
    make_app: impl FnOnce() -> Rc<A>,
    shutdown: oneshot::Receiver<Shutdown>,
) {
    let context = Rc::new(Context {
        app: make_app(),
        connections: Connections::default(),
        in_flight: Rc::default(),
    });
    let in_flight = Rc::clone(&context.in_flight);
    let accept = actix_rt::spawn(accept(listener, context));
    // The channel closes without a message if the handle is gone, which acts as a kill.
    if let Ok(Shutdown::Stop(grace)) = shutdown.await {
        accept.abort();
        let idle = async {
            while in_flight.get() > 0 {
                actix_rt::time::sleep(STOP_POLL).await;
            }
        };
        let _ = tokio::time::timeout(grace, idle).await;
        // The connection tasks may still be writing the last answers.
        actix_rt::time::sleep(STOP_POLL).await;
    }
}

/// Accepts connections and serves each one in a task of its own.
async fn accept<A: App>(listener: TcpListener, context: Rc<Context<A>>) {
    let connections = Rc::clone(&context.connections);
    let serve = fn_service(move |req: Request| {
        let context = Rc::clone(&context);
        async move { Ok::<_, actix_http::Error>(context.serve(req).await) }
    });
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE_TIMEOUT))
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(Duration::ZERO)
        .h1(serve)
        .tcp();
    let Ok(http) = factory.new_service(()).await else {
        return;
    };
    loop {
        let Ok((io, peer)) = listener.accept().await else {
            // The process is out of file descriptors; connections that end free some.
            actix_rt::time::sleep(STOP_POLL).await;
            continue;
        };
        // Without TCP_NODELAY small answers wait for acknowledgements of earlier ones (Nagle's
        // algorithm).
        let _ = io.set_nodelay(true);
        let close = Rc::new(Notify::new());
        let connections = Rc::clone(&connections);
        connections.borrow_mut().insert(peer, Rc::clone(&close));
        let connection = http.call(io);
        actix_rt::spawn(async move {
            tokio::select! {
                _ = connection => {}
                () = close.notified() => {}
            }
            connections.borrow_mut().remove(&peer);
        });
    }
}

impl<A: App> Context<A> {
    async fn serve(&self, mut req: Request) -> Response<BoxBody> {
        let _guard = InFlightGuard::new(&self.in_flight);
        let peer = req.peer_addr();
        let reply = match read_request(&mut req).await {
            Ok(req) => Rc::clone(&self.app).answer(req).await,
            Err(reply) => reply,
        };
        match reply {
            Reply::Answer {
                status,
                headers,
                body,
            } => response(status, headers, body),
            Reply::Disconnect => {
                let close = peer.and_then(|p| self.connections.borrow().get(&p).cloned());
                if let Some(close) = close {
                    close.notify_one();
                }
                std::future::pending().await
            }
        }
    }
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(Rc<Cell<usize>>);

impl InFlightGuard {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Reads the whole body; the error is the reply for a body that is too large or cannot be read.
async fn read_request(req: &mut Request) -> Result<Req, Reply> {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|e| Reply::text(400, &e.to_string()))?;
        if body.len() + chunk.len() > MAX_BODY_BYTES {
            return Err(Reply::text(413, "body too large"));
        }
        body.extend_from_slice(&chunk);
    }
    let headers = req.headers().iter();
    Ok(Req {
        method: req.method().as_str().to_owned(),
        path: req.path().to_owned(),
        query: req.uri().query().unwrap_or_default().to_owned(),
        headers: headers
            .filter_map(|(n, v)| Some((n.as_str().to_owned(), v.to_str().ok()?.to_owned())))
            .collect(),
        body: body.freeze(),
    })
}

fn response(status: u16, headers: Vec<(&'static str, String)>, body: Bytes) -> Response<BoxBody> {
    let status = StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut builder = Response::build(status);
    for header in headers {
        builder.insert_header(header);
    }
    builder
        .message_body(BoxBody::new(body))
        .unwrap_or_else(|_| Response::internal_server_error())
}
