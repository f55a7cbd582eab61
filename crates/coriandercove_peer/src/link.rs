//! Multiplexed TCP links between processes.
//!
//! One connection carries all frames from one node to another, in order. A process dials on the
//! first send, unless the peer has already opened a connection, which then serves both directions.

mod conn;
mod listen;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use coriandercove_base::telemetry::{CounterFamily, Metrics, count};
use coriandercove_base::timer::{Subscription, TimerService};
use coriandercove_base::{Incarnation, NodeId, ZoneId, data};
use slog::Logger;
use snafu::Snafu;

use crate::auth::ClusterKey;
use crate::frame::Frame;
use conn::Conn;

/// How often links are checked for silence.
const SILENCE_CHECK_INTERVAL: Duration = Duration::from_millis(50);

data! {
    /// Role of a process.
    #[derive(Copy, Eq)]
    pub enum Role {
        /// Accepts requests of callers and routes them.
        Entry,
        /// Runs beside a target.
        Agent,
    }

    /// Description of a process, which it sends to a peer in the handshake.
    #[derive(Eq)]
    pub struct PeerInfo {
        /// Name of the process.
        pub node: NodeId,
        /// Incarnation of the process.
        pub incarnation: Incarnation,
        /// Zone of the VM.
        pub zone: ZoneId,
        /// Role of the process.
        pub role: Role,
        /// Address at which it accepts links, and at which it receives datagrams.
        pub listen: SocketAddr,
    }

    /// A node and the address at which it accepts links.
    #[derive(Eq, Hash)]
    pub struct Address {
        /// Name of the node.
        pub node: NodeId,
        /// IP address and port.
        pub addr: SocketAddr,
    }
}

impl PeerInfo {
    /// Returns the node and the address at which it accepts links.
    #[must_use]
    pub fn address(&self) -> Address {
        Address {
            node: self.node.clone(),
            addr: self.listen,
        }
    }
}

/// Why a frame was not queued for sending. It has not left this process.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// The queue of frames for the peer is full.
    #[snafu(display("{limit} frames already wait for {node}"))]
    QueueFull {
        /// The peer.
        node: NodeId,
        /// Frames that may be queued for one peer.
        limit: usize,
    },
    /// The links have been closed; see [`Links::close`].
    #[snafu(display("links are closed"))]
    Closed,
}

/// Handles events on links. Its methods are called on the runtime thread and must not block.
pub trait LinkHandler {
    /// A frame arrived from an authenticated peer.
    fn on_frame(&self, from: &PeerInfo, frame: Frame);
    /// The link to a peer closed or was silent for too long. Frames written before may or may not
    /// have arrived.
    fn on_down(&self, node: &NodeId);
    /// These frames for `to` certainly never left this process.
    fn on_undelivered(&self, to: &Address, frames: Vec<Frame>);
}

/// Decision of a [`Shaper`] about a frame, for tests and measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Passage {
    /// The frame is sent after this delay, counted from when it was queued.
    After(Duration),
    /// The frame is held back; the shaper is asked again later.
    Blocked,
}

/// Simulates delays and partitions of the network, for tests and measurements. Production links
/// have none.
pub trait Shaper {
    /// Decides about a frame of `bytes` to `to`. A call with 0 bytes asks whether `to` can be
    /// dialled.
    fn passage(&self, to: &NodeId, bytes: usize) -> Passage;
}

/// Settings of links; build them with [`LinkConfig::new`] and the `with` methods.
#[derive(Clone)]
pub struct LinkConfig {
    own: PeerInfo,
    key: ClusterKey,
    /// Silence after which a link in use counts as down.
    silence: Duration,
    /// Frames that may be queued for one peer.
    queue_limit: usize,
    /// Number of connections, dialled and accepted, at which further incoming ones are closed.
    max_connections: usize,
    shaper: Option<Rc<dyn Shaper>>,
}

impl LinkConfig {
    /// Creates the default settings of a process: 350 ms of silence, 65,536 queued frames for each
    /// peer, 8,192 connections and no shaper.
    #[must_use]
    pub const fn new(own: PeerInfo, key: ClusterKey) -> Self {
        Self {
            own,
            key,
            silence: Duration::from_millis(350),
            queue_limit: 65_536,
            max_connections: 8_192,
            shaper: None,
        }
    }

    /// Sets the silence after which a link in use counts as down.
    #[must_use]
    pub const fn with_silence(mut self, silence: Duration) -> Self {
        self.silence = silence;
        self
    }

    /// Sets how many frames may be queued for one peer.
    #[must_use]
    pub const fn with_queue_limit(mut self, limit: usize) -> Self {
        self.queue_limit = limit;
        self
    }

    /// Sets the shaper.
    #[must_use]
    pub fn with_shaper(mut self, shaper: Rc<dyn Shaper>) -> Self {
        self.shaper = Some(shaper);
        self
    }
}

struct Inner {
    cfg: LinkConfig,
    handler: Rc<dyn LinkHandler>,
    log: Logger,
    /// The connection that is used for sending to each node. Other connections only receive.
    conns: RefCell<HashMap<NodeId, Rc<Conn>>>,
    /// Number of connections, dialled and accepted, that are open or opening.
    open: Cell<usize>,
    closed: Cell<bool>,
    refused: CounterFamily,
    check: RefCell<Option<Subscription>>,
}

/// All links of a process.
#[derive(Clone)]
pub struct Links {
    inner: Rc<Inner>,
}

impl Links {
    /// Listens at the process's own address and starts to accept links. `make_handler` is called
    /// with the address that was bound.
    ///
    /// With port 0 the operating system chooses a port; see [`Links::own`] for the result.
    ///
    /// # Errors
    /// Returns the I/O error if the address cannot be bound.
    pub async fn bind(
        mut cfg: LinkConfig,
        make_handler: impl FnOnce(&PeerInfo) -> Rc<dyn LinkHandler>,
        timers: &TimerService,
        metrics: &Metrics,
        log: Logger,
    ) -> std::io::Result<Self> {
        let listener = tokio::net::TcpListener::bind(cfg.own.listen).await?;
        cfg.own.listen = listener.local_addr()?;
        let handler = make_handler(&cfg.own);
        let inner = Rc::new(Inner {
            cfg,
            handler,
            log,
            conns: RefCell::default(),
            open: Cell::new(0),
            closed: Cell::new(false),
            refused: metrics.counters("link_refused", "Connections and frames refused, by reason"),
            check: RefCell::default(),
        });
        let weak = Rc::downgrade(&inner);
        let check = timers.subscribe(SILENCE_CHECK_INTERVAL, move || {
            if let Some(inner) = weak.upgrade() {
                inner.check_silence();
            }
        });
        *inner.check.borrow_mut() = Some(check);
        actix_rt::spawn(listen::accept(listener, Rc::downgrade(&inner)));
        Ok(Self { inner })
    }

    /// Returns the description that this process sends to its peers, with the port that was bound.
    #[must_use]
    pub fn own(&self) -> &PeerInfo {
        &self.inner.cfg.own
    }

    /// Queues a frame for sending; dials in the background if there is no connection.
    ///
    /// # Errors
    /// Returns [`SendError`] if the frame was not queued; it certainly has not left this process.
    pub fn send(&self, to: &Address, frame: Frame) -> Result<(), SendError> {
        let inner = &self.inner;
        if inner.closed.get() {
            return Err(SendError::Closed);
        }
        let existing = inner.conns.borrow().get(&to.node).cloned();
        let conn = existing.unwrap_or_else(|| listen::dial(inner, to));
        if conn.push(frame, inner.cfg.queue_limit) {
            return Ok(());
        }
        count(&inner.refused, "reason", "queue_full");
        Err(SendError::QueueFull {
            node: to.node.clone(),
            limit: inner.cfg.queue_limit,
        })
    }

    /// Opens a connection if there is none, and returns the peer's description with its current
    /// incarnation; `None` if the peer cannot be reached.
    pub async fn connect(&self, to: &Address) -> Option<PeerInfo> {
        if self.inner.closed.get() {
            return None;
        }
        let existing = self.inner.conns.borrow().get(&to.node).cloned();
        let conn = existing.unwrap_or_else(|| listen::dial(&self.inner, to));
        conn.wait_until_up().await
    }

    /// Returns whether there is an authenticated connection to `node`.
    #[must_use]
    pub fn is_up(&self, node: &str) -> bool {
        self.inner
            .conns
            .borrow()
            .get(node)
            .is_some_and(|c| c.is_up())
    }

    /// Closes the connections used for sending and stops accepting. Queued frames are dropped, and
    /// the handler is not called for them.
    pub fn close(&self) {
        self.inner.closed.set(true);
        self.inner.check.borrow_mut().take();
        for (_, conn) in self.inner.conns.borrow_mut().drain() {
            conn.close();
        }
    }

    /// Returns the number of frames that are queued, over all links.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.inner.conns.borrow().values().map(|c| c.queued()).sum()
    }
}

impl Inner {
    /// Closes the links in use that have been silent for too long.
    fn check_silence(&self) {
        let conns: Vec<_> = self.conns.borrow().values().cloned().collect();
        for conn in conns {
            if conn.check_silence(self.cfg.silence) {
                count(&self.refused, "reason", "silent");
                conn.close();
            }
        }
    }

    /// Removes a closed connection. Frames that were never written are passed to `on_undelivered`
    /// before `on_down` is called, so that the handler can tell them from frames that may have
    /// arrived.
    fn remove_connection(&self, peer: &Address, conn: &Rc<Conn>) {
        let in_use = self
            .conns
            .borrow()
            .get(&peer.node)
            .is_some_and(|c| Rc::ptr_eq(c, conn));
        if in_use {
            self.conns.borrow_mut().remove(&peer.node);
        }
        if self.closed.get() {
            return;
        }
        let unwritten = conn.take_unwritten();
        if !unwritten.is_empty() {
            self.handler.on_undelivered(peer, unwritten);
        }
        if in_use {
            self.handler.on_down(&peer.node);
        }
    }
}

#[cfg(test)]
mod tests;
