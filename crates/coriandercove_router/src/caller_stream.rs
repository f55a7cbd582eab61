//! The connection of a caller, which is closed if the caller takes too little while memory is short.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use slog::info;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use crate::lag::{Lag, Verdict};
use crate::pressure::BehindMark;
use crate::state::Router;

/// A caller's connection that observes how far the caller is behind.
pub(crate) struct CallerStream {
    stream: TcpStream,
    router: Rc<Router>,
    lag: Lag,
    behind: BehindMark,
    /// Wait until the lag is judged again; none while the caller is not behind or accounted for.
    timer: Option<Pin<Box<Sleep>>>,
}

impl CallerStream {
    pub fn new(stream: TcpStream, router: Rc<Router>) -> Self {
        Self {
            stream,
            lag: Lag::new(router.bytes.clone()),
            behind: BehindMark::new(Rc::clone(&router.contention.callers_behind)),
            router,
            timer: None,
        }
    }

    /// Judges the lag if nothing could be written.
    fn judge(
        &mut self,
        written: Poll<io::Result<usize>>,
        cx: &mut Context<'_>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            return written;
        }
        let mut now = self.router.now();
        self.behind.on_blocked(now);
        loop {
            match self.lag.on_blocked(now) {
                Verdict::Wait(time) => {
                    let timer = self.timer.get_or_insert_with(|| Box::pin(sleep(time)));
                    ready!(timer.as_mut().poll(cx));
                    self.timer = None;
                    now = self.router.now();
                }
                Verdict::Held => return Poll::Pending,
                Verdict::Close => {
                    self.router.metrics.lagging_callers.inc();
                    info!(self.router.log, "caller behind, connection closed";
                        "cause" => "memory");
                    // Otherwise the system would keep what waits until the caller reads.
                    if let Err(e) = self.stream.set_zero_linger() {
                        info!(self.router.log, "connection not reset"; "cause" => %e);
                    }
                    let problem = "the caller is behind, and there is no memory for it";
                    return Poll::Ready(Err(io::Error::new(io::ErrorKind::OutOfMemory, problem)));
                }
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.judge(written, cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.judge(written, cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    /// hyper flushes only after it has written all that it has.
    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.lag.on_caught_up();
        self.behind.on_caught_up();
        self.timer = None;
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
