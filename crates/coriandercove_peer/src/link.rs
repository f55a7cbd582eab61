//! Multiplexed TCP links between processes.
//!
//! One connection carries all frames from one node to another, in order. A process dials on the
//! first send and reuses connections that the other side has opened.

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
const CHECK_PERIOD: Duration = Duration::from_millis(50);

data! {
    /// Role of a process.
    #[derive(Copy, Eq)]
    pub enum Role {
        /// Accepts callers' requests.
        Entry,
        /// Runs beside a target.
        Agent,
    }

    /// What a process tells its peers about itself.
    #[derive(Eq)]
    pub struct PeerInfo {
        /// Name.
        pub node: NodeId,
        /// Run of the process.
        pub incarnation: Incarnation,
        /// Its zone.
        pub zone: ZoneId,
        /// Its role.
        pub role: Role,
        /// Where it listens for links.
        pub listen: SocketAddr,
    }

    /// A node and where it listens.
    #[derive(Eq, Hash)]
    pub struct Address {
        /// Name.
        pub node: NodeId,
        /// IP address and port.
        pub addr: SocketAddr,
    }
}

impl PeerInfo {
    /// The node and where it listens.
    #[must_use]
    pub fn address(&self) -> Address {
        Address {
            node: self.node.clone(),
            addr: self.listen,
        }
    }
}

/// A frame that was not accepted for sending. It has not left this process.
#[derive(Debug, Snafu)]
pub enum SendError {
    /// Too many frames wait for the peer.
    #[snafu(display("{limit} frames already wait for {node}"))]
    QueueFull {
        /// The peer.
        node: NodeId,
        /// Frames that may wait.
        limit: usize,
    },
    /// The part is shutting down.
    #[snafu(display("links are closed"))]
    Closed,
}

/// Receives what happens on links. Calls come on the runtime thread and must not block.
pub trait LinkHandler {
    /// A frame arrived from an authenticated peer.
    fn on_frame(&self, from: &PeerInfo, frame: Frame);
    /// The link to a peer closed or fell silent. Frames written before may have arrived or not.
    fn on_down(&self, node: &NodeId);
    /// These frames surely never left this process.
    fn on_undelivered(&self, to: &Address, frames: Vec<Frame>);
}

/// State of the network between two nodes, for tests and measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Passage {
    /// Frames pass after this delay.
    After(Duration),
    /// No frame passes.
    Blocked,
}

/// Shapes traffic, for tests and measurements. Production has none.
pub trait Shaper {
    /// How a frame of `bytes` to `to` passes now.
    fn passage(&self, to: &NodeId, bytes: usize) -> Passage;
}

/// Settings of links; build them with [`LinkConfig::new`] and the `with` methods.
#[derive(Clone)]
pub struct LinkConfig {
    own: PeerInfo,
    key: ClusterKey,
    /// Silence after which a link in use counts as down.
    silence: Duration,
    /// Frames that may wait for one peer.
    queue_limit: usize,
    /// Connections accepted at the most.
    max_connections: usize,
    shaper: Option<Rc<dyn Shaper>>,
}

impl LinkConfig {
    /// Default settings for a process.
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

    /// Sets how many frames may wait for one peer.
    #[must_use]
    pub const fn with_queue_limit(mut self, limit: usize) -> Self {
        self.queue_limit = limit;
        self
    }

    /// Shapes traffic.
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
    /// The connection that carries frames to each node. Other connections only receive.
    conns: RefCell<HashMap<NodeId, Rc<Conn>>>,
    /// Connections in both directions, open or opening.
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
    /// Listens at the process's own address and starts to serve links.
    ///
    /// With port 0 the system chooses a port; see [`Links::own`] for the result.
    ///
    /// # Errors
    /// The I/O error if the address cannot be bound.
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
        let check = timers.subscribe(CHECK_PERIOD, move || {
            if let Some(inner) = weak.upgrade() {
                inner.check_silence();
            }
        });
        *inner.check.borrow_mut() = Some(check);
        actix_rt::spawn(listen::accept(listener, Rc::downgrade(&inner)));
        Ok(Self { inner })
    }

    /// What this process tells its peers, with the port it listens on.
    #[must_use]
    pub fn own(&self) -> &PeerInfo {
        &self.inner.cfg.own
    }

    /// Queues a frame; dials if there is no connection.
    ///
    /// # Errors
    /// [`SendError`] if the frame was not accepted; it surely has not left this process.
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

    /// Opens a connection if there is none, and tells which run of the peer it leads to.
    /// `None` if the peer cannot be reached.
    pub async fn connect(&self, to: &Address) -> Option<PeerInfo> {
        if self.inner.closed.get() {
            return None;
        }
        let existing = self.inner.conns.borrow().get(&to.node).cloned();
        let conn = existing.unwrap_or_else(|| listen::dial(&self.inner, to));
        conn.wait_up().await
    }

    /// Whether there is an authenticated connection to `node`.
    #[must_use]
    pub fn is_up(&self, node: &str) -> bool {
        self.inner
            .conns
            .borrow()
            .get(node)
            .is_some_and(|c| c.is_up())
    }

    /// Closes all connections and stops accepting. Frames that still wait are dropped.
    pub fn close(&self) {
        self.inner.closed.set(true);
        self.inner.check.borrow_mut().take();
        for (_, conn) in self.inner.conns.borrow_mut().drain() {
            conn.close();
        }
    }

    /// Frames that wait to be written, over all links.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.inner.conns.borrow().values().map(|c| c.queued()).sum()
    }
}

impl Inner {
    /// Closes links in use that have been silent for too long.
    fn check_silence(&self) {
        let conns: Vec<_> = self.conns.borrow().values().cloned().collect();
        for conn in conns {
            if conn.check_silence(self.cfg.silence) {
                count(&self.refused, "reason", "silent");
                conn.close();
            }
        }
    }

    /// Takes a closed connection out of use. Frames that were never written are handed back before
    /// the handler hears that the link is down, so that it can tell them from those that may have
    /// arrived.
    fn retire(&self, peer: &Address, conn: &Rc<Conn>) {
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
