//! HTTP server of the stand-ins: one thread for each, ended by its handle.

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

/// Largest request body, in bytes. It has room for the KV state of a long sequence.
const MAX_BODY: usize = 64 << 20;
/// Connections that may wait to be accepted. The 128 of the standard library are too few for bursts
/// of calls on fresh connections: a dropped SYN is sent again only after 1 s.
const BACKLOG: u32 = 4_096;
/// Longer than the pools of clients keep idle connections, so that only faults close them.
const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// Period of the check whether requests are still in flight during a stop.
const STOP_POLL: Duration = Duration::from_millis(5);

/// A request with its whole body.
#[derive(Debug, Clone)]
pub struct Req {
    /// Method, such as `GET`.
    pub method: String,
    /// Path without the query.
    pub path: String,
    /// Query without the question mark; may be empty.
    pub query: String,
    /// Headers with lower-case names.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

impl Req {
    /// Value of the first header called `name`, which is in lower case.
    #[must_use]
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    /// Value of a query parameter, as written.
    #[must_use]
    pub fn param(&self, name: &str) -> Option<&str> {
        let mut pairs = self.query.split('&').filter_map(|p| p.split_once('='));
        pairs.find(|(n, _)| *n == name).map(|(_, v)| v)
    }

    /// The body as JSON, or a reply with status 400 that names the place.
    ///
    /// # Errors
    /// The reply to send if the body is not valid.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|e| Reply::text(400, &e.to_string()))
    }
}

/// What to answer.
#[derive(Debug, Clone)]
pub enum Reply {
    /// A whole answer.
    Answer {
        /// Status code.
        status: u16,
        /// Further headers.
        headers: Vec<(&'static str, String)>,
        /// The body.
        body: Bytes,
    },
    /// Close the connection without an answer.
    Disconnect,
}

impl Reply {
    /// An answer with a body of any type.
    #[must_use]
    pub fn bytes(status: u16, body: impl Into<Bytes>) -> Self {
        Self::Answer {
            status,
            headers: Vec::new(),
            body: body.into(),
        }
    }

    /// An answer with a text.
    #[must_use]
    pub fn text(status: u16, message: &str) -> Self {
        Self::bytes(status, message.to_owned())
    }

    /// An answer with JSON.
    #[must_use]
    pub fn json(status: u16, body: &impl Serialize) -> Self {
        match serde_json::to_vec(body) {
            Ok(body) => Self::bytes(status, body).header("content-type", "application/json"),
            Err(e) => Self::text(500, &e.to_string()),
        }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        if let Self::Answer { headers, .. } = &mut self {
            headers.push((name, value.into()));
        }
        self
    }
}

/// The logic behind a server.
pub trait App: 'static {
    /// Answers one request.
    fn answer(self: Rc<Self>, req: Req) -> LocalBoxFuture<'static, Reply>;
}

enum Command {
    Stop(Duration),
    Kill,
}

/// A running server. Dropping it kills the server.
pub struct Server {
    addr: SocketAddr,
    command: Option<oneshot::Sender<Command>>,
    thread: Option<JoinHandle<()>>,
}

impl Server {
    /// Binds `listen` and serves the app that `make` creates on a new thread.
    ///
    /// # Errors
    /// If the address cannot be bound or no thread can be started.
    pub fn start<A: App>(
        listen: SocketAddr,
        name: &str,
        make: impl FnOnce() -> Rc<A> + Send + 'static,
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
                            // The caller may be gone; then the command is a kill.
                            let _ = bound_tx.send(Ok(addr));
                            run(listener, make, rx).await;
                        }
                        Err(e) => drop(bound_tx.send(Err(e))),
                    }
                });
            })?;
        let addr = bound.recv().map_err(io::Error::other)??;
        Ok(Self {
            addr,
            command: Some(tx),
            thread: Some(thread),
        })
    }

    /// Address that the server listens on.
    #[must_use]
    pub const fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Address as the start of a URL.
    #[must_use]
    pub fn url(&self) -> String {
        format!("http://{}", self.addr)
    }

    /// Takes no new connection and ends when the requests in flight are answered, or after `grace`.
    pub fn stop(mut self, grace: Duration) {
        self.end(Command::Stop(grace));
    }

    /// Closes all connections and ends at once.
    pub fn kill(mut self) {
        self.end(Command::Kill);
    }

    fn end(&mut self, command: Command) {
        if let Some(tx) = self.command.take() {
            // The thread has ended already if nobody receives.
            let _ = tx.send(command);
        }
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.end(Command::Kill);
    }
}

fn bind(addr: SocketAddr) -> io::Result<(TcpListener, SocketAddr)> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4(),
        SocketAddr::V6(_) => TcpSocket::new_v6(),
    }?;
    // A stand-in that was killed takes its old address again.
    socket.set_reuseaddr(true)?;
    socket.bind(addr)?;
    let listener = socket.listen(BACKLOG)?;
    let addr = listener.local_addr()?;
    Ok((listener, addr))
}

/// Connections by the address of the peer, to close one without an answer.
type Connections = Rc<RefCell<HashMap<SocketAddr, Rc<Notify>>>>;

struct Context<A> {
    app: Rc<A>,
    connections: Connections,
    in_flight: Rc<Cell<usize>>,
}

async fn run<A: App>(
    listener: TcpListener,
    make: impl FnOnce() -> Rc<A>,
    command: oneshot::Receiver<Command>,
) {
    let context = Rc::new(Context {
        app: make(),
        connections: Connections::default(),
        in_flight: Rc::default(),
    });
    let in_flight = Rc::clone(&context.in_flight);
    let accept = actix_rt::spawn(accept(listener, context));
    // A dropped handle means the same as a kill.
    if let Ok(Command::Stop(grace)) = command.await {
        accept.abort();
        let idle = async {
            while in_flight.get() > 0 {
                actix_rt::time::sleep(STOP_POLL).await;
            }
        };
        let _ = tokio::time::timeout(grace, idle).await;
        // The last answers may still be on their way out of the connection tasks.
        actix_rt::time::sleep(STOP_POLL).await;
    }
}

async fn accept<A: App>(listener: TcpListener, context: Rc<Context<A>>) {
    let connections = Rc::clone(&context.connections);
    let serve = fn_service(move |req: Request| {
        let context = Rc::clone(&context);
        async move { Ok::<_, actix_http::Error>(context.serve(req).await) }
    });
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        .client_request_timeout(Duration::ZERO)
        .client_disconnect_timeout(Duration::ZERO)
        .h1(serve)
        .tcp();
    let Ok(http) = factory.new_service(()).await else {
        return;
    };
    loop {
        let Ok((io, peer)) = listener.accept().await else {
            // Out of file descriptors; connections that end free some.
            actix_rt::time::sleep(STOP_POLL).await;
            continue;
        };
        // Without it small answers wait for acknowledgements of earlier ones.
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
        let _guard = InFlight::new(&self.in_flight);
        let peer = req.peer_addr();
        let reply = match read(&mut req).await {
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

struct InFlight(Rc<Cell<usize>>);

impl InFlight {
    fn new(count: &Rc<Cell<usize>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn read(req: &mut Request) -> Result<Req, Reply> {
    let mut payload = req.take_payload();
    let mut body = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|e| Reply::text(400, &e.to_string()))?;
        if body.len() + chunk.len() > MAX_BODY {
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
