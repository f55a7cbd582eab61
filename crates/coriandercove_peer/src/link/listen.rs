//! Dialling and accepting connections.

use std::rc::{Rc, Weak};
use std::time::Duration;

use coriandercove_base::telemetry::count;
use tokio::net::{TcpListener, TcpStream};

use super::{Address, Inner, Passage};
use crate::handshake::{self, Session};
use crate::link::conn::Conn;

/// Timeout of dialling: the TCP connection and the handshake. It is longer than the round trip
/// between any two regions.
const DIAL_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a failed accept, so that a lack of file descriptors does not keep a core busy.
const ACCEPT_RETRY: Duration = Duration::from_millis(50);
/// How often the listener checks whether the links have been closed or dropped.
const OWNER_CHECK: Duration = Duration::from_millis(200);

/// Accepts connections until the links are closed or dropped.
pub async fn accept(listener: TcpListener, inner: Weak<Inner>) {
    loop {
        let accepted = tokio::time::timeout(OWNER_CHECK, listener.accept()).await;
        let Some(inner) = inner.upgrade().filter(|inner| !inner.closed.get()) else {
            return;
        };
        match accepted {
            Err(_) => {}
            Ok(Err(_)) => tokio::time::sleep(ACCEPT_RETRY).await,
            Ok(Ok(_)) if inner.open.get() >= inner.cfg.max_connections => {
                count(&inner.refused, "reason", "too_many_connections");
            }
            Ok(Ok((stream, _))) => {
                actix_rt::spawn(serve_accepted(inner, stream));
            }
        }
    }
}

async fn serve_accepted(inner: Rc<Inner>, mut stream: TcpStream) {
    inner.open.set(inner.open.get() + 1);
    let own = &inner.cfg.own;
    match handshake::run(&mut stream, own, &inner.cfg.key, false).await {
        Ok(session) => serve_session(&inner, stream, session).await,
        Err(e) => {
            count(&inner.refused, "reason", "handshake");
            slog::debug!(inner.log, "connection refused"; "error" => %e);
        }
    }
    inner.open.set(inner.open.get() - 1);
}

/// Runs an accepted connection. It is also used for sending if there is no connection to the node
/// yet.
async fn serve_session(inner: &Rc<Inner>, stream: TcpStream, session: Session) {
    let node = session.peer.node.clone();
    let conn = Conn::new();
    inner
        .conns
        .borrow_mut()
        .entry(node)
        .or_insert_with(|| Rc::clone(&conn));
    let address = session.peer.address();
    conn.run(inner, stream, session).await;
    inner.remove_connection(&address, &conn);
}

/// Registers a connection to `to` and opens it in the background.
pub fn dial(inner: &Rc<Inner>, to: &Address) -> Rc<Conn> {
    let conn = Conn::new();
    inner
        .conns
        .borrow_mut()
        .insert(to.node.clone(), Rc::clone(&conn));
    actix_rt::spawn(serve_dialled(
        Rc::clone(inner),
        to.clone(),
        Rc::clone(&conn),
    ));
    conn
}

async fn serve_dialled(inner: Rc<Inner>, to: Address, conn: Rc<Conn>) {
    inner.open.set(inner.open.get() + 1);
    let connected = tokio::time::timeout(DIAL_TIMEOUT, connect(&inner, &to)).await;
    match connected {
        Ok(Ok((stream, session))) => conn.run(&inner, stream, session).await,
        Ok(Err(reason)) => count(&inner.refused, "reason", reason),
        Err(_) => count(&inner.refused, "reason", "dial_timeout"),
    }
    conn.fail();
    inner.open.set(inner.open.get() - 1);
    inner.remove_connection(&to, &conn);
}

async fn connect(inner: &Rc<Inner>, to: &Address) -> Result<(TcpStream, Session), &'static str> {
    while inner
        .cfg
        .shaper
        .as_ref()
        .is_some_and(|s| s.passage(&to.node, 0) == Passage::Blocked)
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let mut stream = TcpStream::connect(to.addr).await.map_err(|_| "dial")?;
    let _ = stream.set_nodelay(true);
    let session = handshake::run(&mut stream, &inner.cfg.own, &inner.cfg.key, true)
        .await
        .map_err(|_| "handshake")?;
    if session.peer.node != to.node {
        return Err("wrong_node");
    }
    Ok((stream, session))
}
