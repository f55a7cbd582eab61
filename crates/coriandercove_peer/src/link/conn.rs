//! One connection: a queue of frames to send, a writer task and a reader task.

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

/// Bytes of sealed frames that the writer collects before it writes, if more frames are queued.
const WRITE_BATCH_BYTES: usize = 256 << 10;
/// Time after the last frame sent during which a link counts as in use. Only a link in use is
/// checked for silence.
const IN_USE_PERIOD: Duration = Duration::from_secs(2);
/// Silence after which a ping is sent over a link in use.
const PING_AFTER: Duration = Duration::from_millis(100);
/// If more time than this has passed since the last check, this process itself was paused, so the
/// silence says nothing about the peer.
const PAUSE_THRESHOLD: Duration = Duration::from_millis(200);
/// How often the shaper is asked again while it blocks a frame.
const BLOCKED_RETRY: Duration = Duration::from_millis(5);

/// State of one connection, shared by its tasks and the sender.
pub struct Conn {
    /// Frames not yet taken by the writer, each with the time at which it was queued.
    queue: RefCell<VecDeque<(Instant, Frame)>>,
    wake: Notify,
    closing: Notify,
    /// Wakes the tasks that wait until the connection is up or has failed.
    settled: Notify,
    /// The peer, from the end of the handshake until the connection closes.
    peer: RefCell<Option<PeerInfo>>,
    /// Whether the connection closed or could not be opened.
    failed: Cell<bool>,
    last_received: Cell<Instant>,
    /// When the last frame was queued, other than pings and pongs.
    last_sent: Cell<Instant>,
    /// When a ping was queued since which nothing has been received.
    pinged_at: Cell<Option<Instant>>,
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
            pinged_at: Cell::new(None),
            last_check: Cell::new(now),
        })
    }

    /// Queues a frame to send. Returns false if `limit` frames are already queued.
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

    /// Returns the peer if the connection is up.
    pub fn peer(&self) -> Option<PeerInfo> {
        self.peer.borrow().clone()
    }

    /// Waits until the connection is up and returns the peer; `None` if it fails.
    pub async fn wait_until_up(&self) -> Option<PeerInfo> {
        loop {
            let settled = self.settled.notified();
            if self.failed.get() || self.is_up() {
                return self.peer();
            }
            settled.await;
        }
    }

    /// Marks the connection as failed, whether it closed or could not be opened.
    pub fn fail(&self) {
        self.failed.set(true);
        self.peer.borrow_mut().take();
        self.settled.notify_waiters();
    }

    /// Ends [`Self::run`].
    pub fn close(&self) {
        self.closing.notify_one();
    }

    /// Removes and returns all frames that the writer has not taken yet.
    pub fn take_unwritten(&self) -> Vec<Frame> {
        self.queue
            .borrow_mut()
            .drain(..)
            .map(|(_, frame)| frame)
            .collect()
    }

    /// Returns whether nothing was received for `silence` although the link is in use. Sends a ping
    /// after [`PING_AFTER`].
    pub fn check_silence(&self, silence: Duration) -> bool {
        let now = Instant::now();
        let paused = now - self.last_check.replace(now) > PAUSE_THRESHOLD;
        if paused || !self.is_up() || now - self.last_sent.get() > IN_USE_PERIOD {
            self.pinged_at.set(None);
            return false;
        }
        match self.pinged_at.get() {
            Some(at) => now - at >= silence.saturating_sub(PING_AFTER),
            None => {
                if now - self.last_received.get() >= PING_AFTER {
                    self.pinged_at.set(Some(now));
                    self.push(Frame::Ping, usize::MAX);
                }
                false
            }
        }
    }

    /// Reads and writes frames until the connection fails or is closed.
    pub async fn run(self: &Rc<Self>, inner: &Rc<Inner>, stream: TcpStream, session: Session) {
        // With Nagle's algorithm, small frames would wait for the acknowledgement of earlier ones.
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
                    self.pinged_at.set(None);
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
                wait_for_shaper(shaper.as_ref(), &peer.node, bytes, queued_at).await;
            }
            if buf.len() >= WRITE_BATCH_BYTES && tx.write_all_buf(&mut buf).await.is_err() {
                return;
            }
        }
    }
}

/// Waits until the shaper lets a frame pass that was queued at `queued_at`.
async fn wait_for_shaper(
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
