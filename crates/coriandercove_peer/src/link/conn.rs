//! One connection: a queue, a writer and a reader.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::{Inner, Passage, PeerInfo};
use crate::codec::{Opener, Sealer};
use crate::frame::Frame;
use crate::handshake::Session;

/// Bytes that a writer collects before it writes.
const WRITE_BATCH_BYTES: usize = 256 << 10;
/// Time after the last frame sent during which silence of the peer counts.
const IN_USE: Duration = Duration::from_secs(2);
/// Silence after which a link in use is asked for a sign of life.
const PING_AFTER: Duration = Duration::from_millis(100);
/// A check that comes this late means that this process was paused, so silence proves nothing.
const PAUSED: Duration = Duration::from_millis(200);
/// How often a blocked passage is tried again.
const BLOCKED_RETRY: Duration = Duration::from_millis(5);

/// State of one connection, shared by its tasks and the sender.
pub struct Conn {
    queue: RefCell<VecDeque<(Instant, Frame)>>,
    wake: Notify,
    closing: Notify,
    /// Wakes those that wait for the connection to be up or to have failed.
    settled: Notify,
    /// The peer, once authenticated and until the connection closes.
    peer: RefCell<Option<PeerInfo>>,
    failed: Cell<bool>,
    last_received: Cell<Instant>,
    last_sent: Cell<Instant>,
    /// When the ping went out that has not been answered yet.
    pinged: Cell<Option<Instant>>,
    last_check: Cell<Instant>,
}

impl Conn {
    pub fn new() -> Rc<Self> {
        let now = Instant::now();
        Rc::new(Self {
            queue: RefCell::default(),
            wake: Notify::new(),
            closing: Notify::new(),
            settled: Notify::new(),
            peer: RefCell::default(),
            failed: Cell::new(false),
            last_received: Cell::new(now),
            last_sent: Cell::new(now),
            pinged: Cell::new(None),
            last_check: Cell::new(now),
        })
    }

    /// Queues a frame; false if the queue is full.
    pub fn push(&self, frame: Frame, limit: usize) -> bool {
        let now = Instant::now();
        let mut queue = self.queue.borrow_mut();
        if queue.len() >= limit {
            return false;
        }
        if !matches!(frame, Frame::Ping | Frame::Pong) {
            self.last_sent.set(now);
        }
        queue.push_back((now, frame));
        self.wake.notify_one();
        true
    }

    pub fn queued(&self) -> usize {
        self.queue.borrow().len()
    }

    pub fn is_up(&self) -> bool {
        self.peer.borrow().is_some()
    }

    /// The peer, if the connection is up.
    pub fn peer(&self) -> Option<PeerInfo> {
        self.peer.borrow().clone()
    }

    /// Waits until the connection is up; `None` if it fails.
    pub async fn wait_up(&self) -> Option<PeerInfo> {
        loop {
            let settled = self.settled.notified();
            if self.failed.get() || self.is_up() {
                return self.peer();
            }
            settled.await;
        }
    }

    /// Marks the connection as closed or as never opened.
    pub fn fail(&self) {
        self.failed.set(true);
        self.peer.borrow_mut().take();
        self.settled.notify_waiters();
    }

    pub fn close(&self) {
        self.closing.notify_one();
    }

    /// Takes all frames that have not been written.
    pub fn take_unwritten(&self) -> Vec<Frame> {
        self.queue
            .borrow_mut()
            .drain(..)
            .map(|(_, frame)| frame)
            .collect()
    }

    /// Whether the peer has been silent for too long although the link is in use. Pings if due.
    pub fn check_silence(&self, silence: Duration) -> bool {
        let now = Instant::now();
        let paused = now - self.last_check.replace(now) > PAUSED;
        if paused || !self.is_up() || now - self.last_sent.get() > IN_USE {
            self.pinged.set(None);
            return false;
        }
        match self.pinged.get() {
            Some(at) => now - at >= silence.saturating_sub(PING_AFTER),
            None => {
                if now - self.last_received.get() >= PING_AFTER {
                    self.pinged.set(Some(now));
                    self.push(Frame::Ping, usize::MAX);
                }
                false
            }
        }
    }

    /// Serves the connection until it fails or is closed.
    pub async fn run(self: &Rc<Self>, inner: &Rc<Inner>, stream: TcpStream, session: Session) {
        // Without this, small frames wait for the acknowledgement of earlier ones.
        let _ = stream.set_nodelay(true);
        let Session {
            peer,
            sealer,
            opener,
        } = session;
        let (rx, tx) = stream.into_split();
        let now = Instant::now();
        self.last_received.set(now);
        self.last_check.set(now);
        *self.peer.borrow_mut() = Some(peer.clone());
        self.settled.notify_waiters();
        tokio::select! {
            () = self.read(inner, &peer, rx, opener) => {}
            () = self.write(inner, &peer, tx, sealer) => {}
            () = self.closing.notified() => {}
        }
        self.fail();
    }

    async fn read(
        &self,
        inner: &Rc<Inner>,
        peer: &PeerInfo,
        mut rx: OwnedReadHalf,
        mut opener: Opener,
    ) {
        let mut buf = BytesMut::with_capacity(64 << 10);
        loop {
            match opener.open::<Frame>(&mut buf) {
                Ok(Some(frame)) => self.receive(inner, peer, frame),
                Ok(None) => {
                    if !matches!(rx.read_buf(&mut buf).await, Ok(n) if n > 0) {
                        return;
                    }
                    self.last_received.set(Instant::now());
                    self.pinged.set(None);
                }
                Err(e) => {
                    coriandercove_base::telemetry::count(&inner.refused, "reason", "bad_frame");
                    slog::warn!(inner.log, "link closed"; "peer" => &*peer.node, "error" => %e);
                    return;
                }
            }
        }
    }

    fn receive(&self, inner: &Rc<Inner>, peer: &PeerInfo, frame: Frame) {
        match frame {
            Frame::Ping => {
                self.push(Frame::Pong, usize::MAX);
            }
            Frame::Pong => {}
            frame => inner.handler.on_frame(peer, frame),
        }
    }

    async fn write(
        &self,
        inner: &Rc<Inner>,
        peer: &PeerInfo,
        mut tx: OwnedWriteHalf,
        mut sealer: Sealer,
    ) {
        let mut buf = BytesMut::with_capacity(64 << 10);
        loop {
            let next = self.queue.borrow_mut().pop_front();
            let Some((queued_at, frame)) = next else {
                if buf.is_empty() {
                    self.wake.notified().await;
                } else if tx.write_all_buf(&mut buf).await.is_err() {
                    return;
                }
                continue;
            };
            let before = buf.len();
            if let Err(e) = sealer.seal(&frame, &mut buf) {
                coriandercove_base::telemetry::count(&inner.refused, "reason", "unsealable");
                slog::error!(inner.log, "frame dropped"; "peer" => &*peer.node, "error" => %e);
                continue;
            }
            if let Some(shaper) = &inner.cfg.shaper {
                let bytes = buf.len() - before;
                wait_for_passage(shaper.as_ref(), &peer.node, bytes, queued_at).await;
            }
            if buf.len() >= WRITE_BATCH_BYTES && tx.write_all_buf(&mut buf).await.is_err() {
                return;
            }
        }
    }
}

async fn wait_for_passage(
    shaper: &dyn super::Shaper,
    to: &coriandercove_base::NodeId,
    bytes: usize,
    queued_at: Instant,
) {
    loop {
        match shaper.passage(to, bytes) {
            Passage::After(delay) if delay.is_zero() => return,
            Passage::After(delay) => return tokio::time::sleep_until(queued_at + delay).await,
            Passage::Blocked => tokio::time::sleep(BLOCKED_RETRY).await,
        }
    }
}
